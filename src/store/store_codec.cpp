/// @file store_codec.cpp Encodes store requests and decodes responses for the etcd v3 JSON gateway.
#include "store/store_type.h"

#include "etcd.capnp.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <kj/exception.h>

namespace jasmineloom {

namespace {

capnp::Data::Reader bytes(const std::string &text) {
  return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string text(capnp::Data::Reader data) {
  return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

template <typename T> const capnp::JsonCodec &codecFor() {
  static const auto *codec = [] {
    auto *jsonCodec = new capnp::JsonCodec();
    jsonCodec->setHasMode(capnp::HasMode::NON_DEFAULT);
    jsonCodec->handleByAnnotation<T>();
    return jsonCodec;
  }();
  return *codec;
}

template <typename T, typename FillT> std::string encode(FillT fill) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<T>();
  fill(root);
  const kj::String json = codecFor<T>().encode(root.asReader());
  return {json.cStr(), json.size()};
}

/// @returns the first key after all keys with the prefix.
std::string prefixEnd(std::string prefix) {
  ++prefix.back();
  return prefix;
}

struct Encoder {
  StoreHttpRequest operator()(const StoreRead &request) const {
    return {StoreHttpMethod::Post, "/v3/kv/range",
            encode<etcd::RangeRequest>([&](auto &root) { root.setKey(bytes(request.Key)); })};
  }
  /// A range includes its first key; the smallest key after AfterKey is AfterKey and a NUL byte.
  StoreHttpRequest operator()(const StoreList &request) const {
    return {StoreHttpMethod::Post, "/v3/kv/range", encode<etcd::RangeRequest>([&](auto &root) {
              root.setKey(
                  bytes(request.AfterKey.empty() ? request.Prefix : request.AfterKey + '\0'));
              root.setRangeEnd(bytes(prefixEnd(request.Prefix)));
            })};
  }
  /// The gateway has no long poll: a watch is encoded as a list, which returns the current entries
  /// at once.
  StoreHttpRequest operator()(const StoreWatch &request) const {
    return (*this)(StoreList{request.Prefix, {}, false});
  }
  StoreHttpRequest operator()(const StorePut &request) const {
    return {StoreHttpMethod::Post, "/v3/kv/put", encode<etcd::PutRequest>([&](auto &root) {
              root.setKey(bytes(request.Key));
              root.setValue(bytes(request.Value));
              root.setLease(request.Lease);
            })};
  }
  StoreHttpRequest operator()(const StoreCompareAndSwap &request) const {
    return {StoreHttpMethod::Post, "/v3/kv/txn", encode<etcd::TxnRequest>([&](auto &root) {
              auto compare = root.initCompare(1)[0];
              compare.setKey(bytes(request.Key));
              compare.setTarget("MOD");
              compare.setResult("EQUAL");
              compare.setModRevision(request.ExpectedRevision);
              auto ops = root.initSuccess(static_cast<unsigned>(request.Deletions.size() + 1));
              auto put = ops[0].initRequestPut();
              put.setKey(bytes(request.Key));
              put.setValue(bytes(request.Value));
              unsigned n = 1;
              for (const std::string &key : request.Deletions)
                ops[n++].initRequestDelete().setKey(bytes(key));
            })};
  }
  StoreHttpRequest operator()(const StoreGrantLease &request) const {
    return {StoreHttpMethod::Post, "/v3/lease/grant",
            encode<etcd::LeaseGrantRequest>([&](auto &root) { root.setTtl(request.Seconds); })};
  }
  StoreHttpRequest operator()(const StoreKeepAlive &request) const {
    return {StoreHttpMethod::Post, "/v3/lease/keepalive",
            encode<etcd::LeaseKeepAliveRequest>([&](auto &root) { root.setId(request.Lease); })};
  }
};

/// Decodes the response to each kind of request.
struct Decoder {
  const std::string &Body;

  template <typename T, typename ReadT> StoreResponse decode(ReadT read) const {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<T>();
    codecFor<T>().decode(kj::arrayPtr(Body.data(), Body.size()), root);
    StoreResponse response;
    response.Result = StoreResult::Ok;
    read(root.asReader(), response);
    return response;
  }
  StoreResponse range() const {
    return decode<etcd::RangeResponse>([](auto reader, StoreResponse &response) {
      for (auto kv : reader.getKvs())
        response.Entries.push_back({text(kv.getKey()), text(kv.getValue()), kv.getModRevision()});
    });
  }
  StoreResponse operator()(const StoreWatch &) const { return range(); }
  StoreResponse operator()(const StoreRead &) const { return range(); }
  StoreResponse operator()(const StoreList &) const { return range(); }
  StoreResponse operator()(const StorePut &) const { return StoreResponse{StoreResult::Ok, {}, 0}; }
  StoreResponse operator()(const StoreCompareAndSwap &) const {
    return decode<etcd::TxnResponse>([](auto reader, StoreResponse &response) {
      response.Result = reader.getSucceeded() ? StoreResult::Ok : StoreResult::Conflict;
    });
  }
  StoreResponse operator()(const StoreGrantLease &) const {
    return decode<etcd::LeaseGrantResponse>(
        [](auto reader, StoreResponse &response) { response.Lease = reader.getId(); });
  }
  StoreResponse operator()(const StoreKeepAlive &) const {
    return decode<etcd::LeaseKeepAliveResponse>([](auto reader, StoreResponse &response) {
      // The gateway returns a TTL of 0 for an expired lease.
      response.Lease = reader.getResult().getTtl() > 0 ? reader.getResult().getId() : 0;
    });
  }
};

} // namespace

namespace {

constexpr int StatusOk = 200;

StoreHttpRequest encodeRequest(const StoreRequest &request) {
  return std::visit(Encoder{}, request);
}

StoreResponse decodeReply(const StoreRequest &request, int status, const std::string &body) {
  StoreResponse response;
  if (status != StatusOk) {
    response.Result = StoreResult::Unknown;
    return response;
  }
  const auto failed =
      kj::runCatchingExceptions([&] { response = std::visit(Decoder{body}, request); });
  if (failed != nullptr)
    response.Result = StoreResult::Unknown;
  return response;
}

} // namespace

StoreProtocol etcdGatewayProtocol() { return {encodeRequest, decodeReply, false}; }

std::string encodeWatchRequest(const std::string &key) {
  return encode<etcd::WatchRequest>(
      [&](auto &root) { root.initCreateRequest().setKey(bytes(key)); });
}

} // namespace jasmineloom
