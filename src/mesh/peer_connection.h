/// @file peer_connection.h Cap'n Proto RPC connections with byte counters, and a connection cache.
#pragma once

#include "ids_type.h"

#include "jasmineloom.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>

namespace jasmineloom {

/// Control traffic of this process, in bytes.
struct ControlBytes {
  std::uint64_t In = 0;
  std::uint64_t Out = 0;
};

/// Stream that adds the bytes it reads and writes to counters.
class CountingStream final : public kj::AsyncIoStream {
public:
  CountingStream(kj::Own<kj::AsyncIoStream> inner, ControlBytes &bytes)
      : Inner(kj::mv(inner)), Bytes(&bytes) {}
  /// @returns the steady time at which bytes were last received; 0: none yet.
  TimeMs lastReceived() const { return LastReceived; }
  /// Replaces the counters; bytes counted so far stay in the previous ones.
  void setCounters(ControlBytes &bytes) { Bytes = &bytes; }
  kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
  kj::Promise<void> write(const void *buffer, size_t size) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override { return Inner->whenWriteDisconnected(); }
  void shutdownWrite() override { Inner->shutdownWrite(); }
  void abortRead() override { Inner->abortRead(); }

private:
  kj::Own<kj::AsyncIoStream> Inner;
  ControlBytes *Bytes;
  TimeMs LastReceived = 0;
};

void setNoDelay(kj::AsyncIoStream &stream);

/// Open connection to another node.
struct PeerConnection {
  PeerConnection(kj::Own<kj::AsyncIoStream> stream, ControlBytes &bytes);

  kj::Own<CountingStream> Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> Rpc;
  wire::Peer::Client Peer = nullptr;
  wire::Operator::Client Operator = nullptr;
};

/// Waits until nothing was received on a connection for some time. A response in transit over a
/// slow link is no silence, whatever its size.
/// @param since steady time from which silence counts.
kj::Promise<void> waitForSilence(kj::Timer &timer, std::shared_ptr<PeerConnection> connection,
                                 DurationMs limit, TimeMs since);

/// Fails a call on a connection after \p limit of silence.
template <typename T>
kj::Promise<T> failOnSilence(kj::Timer &timer, const std::shared_ptr<PeerConnection> &connection,
                             DurationMs limit, TimeMs now, kj::Promise<T> call) {
  return call.exclusiveJoin(
      waitForSilence(timer, connection, limit, now).then([limit]() -> kj::Promise<T> {
        return KJ_EXCEPTION(OVERLOADED, "nothing received", limit);
      }));
}

/// Opens connections and shares one per address for as long as it is in use.
class PeerCache {
public:
  PeerCache(kj::AsyncIoContext &io, std::string secret, HostID self, ControlBytes &bytes);

  /// Returns the open connection to an address, or connects and authenticates.
  /// @param address IP:port of the node's RPC listener.
  kj::Promise<std::shared_ptr<PeerConnection>> get(const std::string &address);
  /// Removes a failed connection, so that the next get() connects again.
  void drop(const std::string &address);

private:
  kj::AsyncIoContext &Io;
  std::string Secret;
  HostID Self;
  ControlBytes &Bytes;
  std::map<std::string, std::weak_ptr<PeerConnection>> Open;
};

/// Host name that operators' programs pass to Door::enter.
constexpr const char *OperatorClientName = "jasminectl";
/// Time in which a connection must be open and authenticated.
constexpr DurationMs ConnectTimeout = 2 * MsPerSecond;

} // namespace jasmineloom
