/// @file peer_connection.h Connections of Cap'n Proto RPC with counted bytes, and a cache of peers.
#pragma once

#include "ids_type.h"

#include "jasmineloom.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>

namespace jasmineloom {

/// Bytes of control traffic of this process.
struct ControlBytes {
  std::uint64_t In = 0;
  std::uint64_t Out = 0;
};

/// A stream that counts its bytes.
class CountingStream final : public kj::AsyncIoStream {
public:
  CountingStream(kj::Own<kj::AsyncIoStream> inner, ControlBytes &bytes)
      : Inner(kj::mv(inner)), Bytes(&bytes) {}
  /// Counts the stream's bytes elsewhere from now on.
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
};

/// Sets TCP_NODELAY on a socket.
void setNoDelay(kj::AsyncIoStream &stream);

/// An open connection to another node.
struct PeerConnection {
  PeerConnection(kj::Own<kj::AsyncIoStream> stream, ControlBytes &bytes);

  kj::Own<CountingStream> Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> Rpc;
  wire::Peer::Client Peer = nullptr;
  wire::Operator::Client Operator = nullptr;
};

/// Opens connections and keeps one for each address while it is used.
class PeerCache {
public:
  PeerCache(kj::AsyncIoContext &io, std::string secret, HostID self, ControlBytes &bytes);

  /// @returns the connection to an address, opened if there is none.
  kj::Promise<std::shared_ptr<PeerConnection>> get(const std::string &address);
  /// Forgets a connection that failed.
  void drop(const std::string &address);

private:
  kj::AsyncIoContext &Io;
  std::string Secret;
  HostID Self;
  ControlBytes &Bytes;
  std::map<std::string, std::weak_ptr<PeerConnection>> Open;
};

/// Name under which operators' programs enter.
constexpr const char *OperatorClientName = "jasminectl";
/// Time in which a connection must be open and entered.
constexpr DurationMs ConnectTimeout = 2 * MsPerSecond;

} // namespace jasmineloom
