/// @file peer_connection.cpp Cap'n Proto RPC connections with byte counters, and a connection
/// cache.
#include "mesh/peer_connection.h"

#include "event_util.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace jasmineloom {

kj::Promise<size_t> CountingStream::tryRead(void *buffer, size_t minBytes, size_t maxBytes) {
  return Inner->tryRead(buffer, minBytes, maxBytes).then([this](size_t n) {
    Bytes->In += n;
    LastReceived = steadyClockMs();
    return n;
  });
}

kj::Promise<void> CountingStream::write(const void *buffer, size_t size) {
  Bytes->Out += size;
  return Inner->write(buffer, size);
}

kj::Promise<void> CountingStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  for (const auto piece : pieces)
    Bytes->Out += piece.size();
  return Inner->write(pieces);
}

void setNoDelay(kj::AsyncIoStream &stream) {
  const int on = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> stream, ControlBytes &bytes)
    : Stream(kj::heap<CountingStream>(kj::mv(stream), bytes)),
      Network(*Stream, capnp::rpc::twoparty::Side::CLIENT), Rpc(capnp::makeRpcClient(Network)) {}

PeerCache::PeerCache(kj::AsyncIoContext &io, std::string secret, HostID self, ControlBytes &bytes)
    : Io(io), Secret(std::move(secret)), Self(std::move(self)), Bytes(bytes) {}

kj::Promise<std::shared_ptr<PeerConnection>> PeerCache::get(const std::string &address) {
  if (std::shared_ptr<PeerConnection> cached = Open[address].lock())
    return cached;
  auto opening =
      Io.provider->getNetwork()
          .parseAddress(address)
          .then([](kj::Own<kj::NetworkAddress> parsed) {
            auto connecting = parsed->connect();
            return connecting.attach(kj::mv(parsed));
          })
          .then([this, address](kj::Own<kj::AsyncIoStream> stream) {
            setNoDelay(*stream);
            auto connection = std::make_shared<PeerConnection>(kj::mv(stream), Bytes);
            capnp::MallocMessageBuilder message(8);
            auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
            vat.setSide(capnp::rpc::twoparty::Side::SERVER);
            auto enter = connection->Rpc.bootstrap(vat).castAs<wire::Door>().enterRequest();
            enter.setSecret(Secret);
            enter.setHost(Self.str());
            return enter.send().then([this, address, connection](auto &&response) mutable {
              connection->Peer = response.getPeer();
              connection->Operator = response.getOperator();
              Open[address] = connection;
              return connection;
            });
          });
  return Io.provider->getTimer().timeoutAfter(ConnectTimeout * kj::MILLISECONDS, kj::mv(opening));
}

kj::Promise<void> waitForSilence(kj::Timer &timer, std::shared_ptr<PeerConnection> connection,
                                 DurationMs limit, TimeMs since) {
  const TimeMs now = steadyClockMs();
  const TimeMs due = std::max(since, connection->Stream->lastReceived()) + limit;
  if (now >= due)
    return kj::READY_NOW;
  return timer.afterDelay((due - now) * kj::MILLISECONDS)
      .then([&timer, connection = std::move(connection), limit, since]() mutable {
        return waitForSilence(timer, std::move(connection), limit, since);
      });
}

void PeerCache::drop(const std::string &address) { Open.erase(address); }

} // namespace jasmineloom
