# Subset of the etcd v3 JSON gateway API used by the store client.
@0xb8f0c3d94a7e2561;
using Cxx = import "/capnp/c++.capnp";
using Json = import "/capnp/compat/json.capnp";
$Cxx.namespace("jasmineloom::etcd");

struct KeyValue {
  key @0 :Data $Json.base64;
  value @1 :Data $Json.base64;
  modRevision @2 :Int64 $Json.name("mod_revision");
  createRevision @3 :Int64 $Json.name("create_revision");
  version @4 :Int64;
  lease @5 :Int64;
}

struct ResponseHeader {
  revision @0 :Int64;
}

struct RangeRequest {
  key @0 :Data $Json.base64;
  rangeEnd @1 :Data $Json.base64 $Json.name("range_end");
}

struct RangeResponse {
  header @0 :ResponseHeader;
  kvs @1 :List(KeyValue);
  count @2 :Int64;
}

struct PutRequest {
  key @0 :Data $Json.base64;
  value @1 :Data $Json.base64;
  lease @2 :Int64;
}

struct DeleteRequest {
  key @0 :Data $Json.base64;
}

struct Compare {
  key @0 :Data $Json.base64;
  target @1 :Text;
  result @2 :Text;
  modRevision @3 :Int64 $Json.name("mod_revision");
}

struct RequestOp {
  requestPut @0 :PutRequest $Json.name("request_put");
  requestDelete @1 :DeleteRequest $Json.name("request_delete_range");
}

struct TxnRequest {
  compare @0 :List(Compare);
  success @1 :List(RequestOp);
}

struct TxnResponse {
  header @0 :ResponseHeader;
  succeeded @1 :Bool;
}

struct LeaseGrantRequest {
  ttl @0 :Int64 $Json.name("TTL");
}

struct LeaseGrantResponse {
  header @0 :ResponseHeader;
  id @1 :Int64 $Json.name("ID");
  ttl @2 :Int64 $Json.name("TTL");
}

struct LeaseKeepAliveRequest {
  id @0 :Int64 $Json.name("ID");
}

struct LeaseKeepAliveResult {
  id @0 :Int64 $Json.name("ID");
  ttl @1 :Int64 $Json.name("TTL");
}

struct LeaseKeepAliveResponse {
  result @0 :LeaseKeepAliveResult;
}

struct WatchCreateRequest {
  key @0 :Data $Json.base64;
  startRevision @1 :Int64 $Json.name("start_revision");
}

struct WatchRequest {
  createRequest @0 :WatchCreateRequest $Json.name("create_request");
}
