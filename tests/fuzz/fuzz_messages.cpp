/// @file fuzz_messages.cpp Fuzz target: messages between nodes and records in the store. The first
/// byte selects the decoder. Errors of the RPC library are exceptions, which end only the message.
#include "config/delta_codec.h"
#include "config/head_func.h"
#include "mesh/mesh_node.h"
#include "traffic/crash_news.h"
#include "traffic/peer_call.h"
#include "wire_func.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstdint>
#include <cstring>
#include <vector>

using namespace jasmineloom;

namespace {

void receive(const std::string &bytes) {
  std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
  if (words.empty())
    return;
  std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
  MeshNode node({HostID("self"), 1, DataCentreName("dc"), "10.0.0.1:1", "10.0.0.1:2"}, 1);
  static_cast<void>(kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
    const ExchangeMessage message = readExchange(reader.getRoot<wire::Exchange>());
    node.receiveMessage(message, 2);
    node.treePosition();
    node.buildMessage(message.Host, false);
    node.tick(100000);
  }));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  if (size == 0)
    return 0;
  const std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
  switch (data[0] % 5) {
  case 0:
    receive(bytes);
    break;
  case 1:
    static_cast<void>(
        kj::runCatchingExceptions([&] { static_cast<void>(decodeDelta(bytes).ok()); }));
    break;
  case 2:
    static_cast<void>(decodeHead(bytes).ok());
    break;
  case 3:
    static_cast<void>(decodeSection(bytes).ok());
    break;
  default:
    parsePeerCall(bytes);
    decodeCrashes(bytes);
  }
  return 0;
}
