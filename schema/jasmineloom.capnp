# Messages and RPC interfaces: configuration, links between nodes, operator calls.
@0xd3c1a5f28e6b9047;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jasmineloom::wire");

# --- Declarations: configuration that operators keep in version control ---

struct Service {
  name @0 :Text;
  initialVersion @1 :Text;
  # Upstream version that receives the traffic when the service is first declared; only rollouts change it later.
  # Empty: the version that most of the service's upstreams run.
  warmUpMs @2 :UInt32;            # Time after its start in which an upstream is warming up; 0: not stated.
  warmUpPerSecond @3 :Float64;    # Requests per second that an upstream takes while it warms up; 0: no limit.
}

struct Route {
  name @0 :Text;
  prefix @1 :Text;        # Path prefix, matched at segment boundaries; the longest match wins.
  service @2 :Text;
  idempotent @3 :Bool;    # False: a request is executed at most once.
  deadlineMs @4 :UInt32 = 2000;
  worth @5 :UInt32 = 1;   # Priority in load shedding; lower values are shed first.
  host @6 :Text;          # Value of the Host header, without port, in lower case; empty: any.
  split @7 :List(SplitPart);  # Shares of the requests by service; empty: all go to service.
  attempts @8 :UInt32 = 4;    # Most upstreams that one request may be sent to.
  objectiveMs @9 :UInt32;     # Latency objective of callers; 0: none.
  needsKey @10 :Bool;         # Callers must present the key of a workspace.
  largeBody @11 :Bool;        # Bodies are large: a request is sent where it can run at once.
}

struct Workspace {
  name @0 :Text;
  keys @1 :List(Data);        # Digests of its keys.
  worth @2 :UInt32;           # Priority of its requests, before the route's; 0: the route's.
  ratePerSecond @3 :Float64;  # Quota over all nodes; 0: none.
  burst @4 :Float64;          # Requests beyond the rate.
}

struct SplitPart {
  service @0 :Text;
  weight @1 :UInt32;        # Whole weights of up to 32 bits, which nodes of all versions read.
  exactWeight @2 :Float64;  # Any other weight; weight is 0 then. In JSON, weight holds either.
}

struct Rollout {
  id @0 :Text;
  service @1 :Text;
  fromVersion @2 :Text;
  toVersion @3 :Text;
  startMs @4 :UInt64;     # Unix time, ms.
  deadlineMs @5 :UInt64;  # Unix time, ms; by then all traffic has moved, or the rollout was rolled back.
}

struct Declarations {
  services @0 :List(Service);
  routes @1 :List(Route);
  workspaces @2 :List(Workspace);
}

struct ConfigObject {
  union {
    service @0 :Service;
    route @1 :Route;
    rollout @2 :Rollout;
    workspace @3 :Workspace;
  }
}

# --- Records in the store ---

struct OperationRecord {
  id @0 :Text;
  version @1 :UInt64;
  author @2 :Text;
  summary @3 :Text;
  timeMs @4 :UInt64;
}

struct SectionRef {
  index @0 :UInt32;
  hash @1 :Text;
}

struct Head {
  version @0 :UInt64;
  digest @1 :UInt64;
  sections @2 :List(SectionRef);
  operations @3 :List(OperationRecord);  # Newest last.
  retired @4 :List(Text);                # Section hashes that the next change may delete.
}

struct Section {
  objects @0 :List(ConfigObject);
}

# --- Links between nodes ---

enum HostState {
  starting @0;
  ready @1;
  draining @2;
  gone @3;
}

struct HostRecord {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  state @3 :HostState;
  dataCentre @4 :Text;
  rpcAddress @5 :Text;
  gateAddress @6 :Text;
  service @7 :Text;
  version @8 :Text;
  slots @9 :UInt32;
  replaced @10 :UInt64;
  handedOver @11 :Bool;
  upstream @12 :Text;
  departed @13 :Text;  # Last process of the upstream that has left or drains; empty: none known.
  capacity @14 :UInt32;  # CPU of the host, thousandths of a core; 0: not known.
}

struct ConfigUpdate {
  version @0 :UInt64;
  baseVersion @1 :UInt64;   # 0: a full snapshot.
  digest @2 :UInt64;        # Digest of the whole snapshot after the update.
  upserts @3 :List(ConfigObject);
  removals @4 :List(Text);  # Object keys.
}

enum RolloutPhase {
  running @0;
  done @1;
  takenBack @2;
}

struct RolloutProgress {
  id @0 :Text;
  phase @1 :RolloutPhase;
  stage @2 :UInt32;
  reason @3 :Text;
  timeMs @4 :UInt64;
  service @5 :Text;
  toVersion @6 :Text;
  suspectUntilMs @7 :UInt64;
  order @8 :UInt64;
  durationMs @9 :UInt64;
  era @10 :UInt64;        # Era of the store in which the order was read.
  recorded @11 :Bool;     # The store holds this end, so it is final.
}

struct Evacuation {
  dataCentre @0 :Text;
  era @1 :UInt64;         # Of the store.
  revision @2 :UInt64;    # Store revision at which the state was read.
  active @3 :Bool;        # False: taken back.
}

struct SubtreeSummary {
  nodes @0 :UInt32;
  minVersion @1 :UInt64;
  laggards @2 :List(Text);
}

struct Exchange {
  host @0 :Text;
  incarnation @1 :UInt64;
  heldVersion @2 :UInt64;
  heldDigest @3 :UInt64;
  knownVersion @4 :UInt64;     # Highest version known to the sender.
  records @5 :List(HostRecord);
  cursor @6 :UInt64;           # Position in the sender's host table after these records.
  seenCursor @7 :UInt64;       # Position up to which the sender has read the receiver's host table.
  tableDigest @8 :UInt64;
  progress @9 :List(RolloutProgress);
  summary @10 :SubtreeSummary;
  unused1 @11 :ConfigUpdate;   # Replaced by Peer.config.
  unused2 @12 :Bool;
  joining @13 :Bool;           # The sender is a child of the receiver and sends it a summary.
  seenIncarnation @14 :UInt64; # Incarnation of the receiver that seenCursor belongs to.
  evacuations @15 :List(Evacuation);
  clockMs @16 :UInt64;         # The sender's clock, for the receiver to echo.
  echoMs @17 :UInt64;          # Latest clock of the receiver that the sender has seen; 0: none.
  proofAgeMs @18 :UInt32 = 0xffffffff;  # Age of the proof that proofVersion was the newest; the maximum: none.
  proofVersion @19 :UInt64;
  proofEra @20 :UInt64;        # Era of the store that proved it.
  storeSilent @21 :Bool;       # The sender asks the store and gets no answers.
  coveredEra @22 :UInt64;      # The sender knows what was accepted before this era of the store; 0: none.
}

struct VersionCounts {
  route @0 :Text;
  version @1 :Text;
  requests @2 :UInt64;
  failures @3 :UInt64;
  latency @4 :List(UInt32);    # Histogram: pairs of logarithmic bucket and count; empty buckets are omitted.
}

struct EvidenceReport {
  rollout @0 :Text;
  host @1 :Text;
  incarnation @2 :UInt64;
  bucket @3 :UInt64;           # Index of the time bucket by the host's clock, increasing.
  counts @4 :List(VersionCounts);
  age @5 :UInt32;              # Number of buckets between this one and the current one.
}

interface Door {
  enter @0 (secret :Text, host :Text) -> (peer :Peer, operator :Operator);
  # Fails with "refused" if the secret differs from the receiver's.
}

interface Peer {
  exchange @0 (message :Exchange, holdMs :UInt32) -> (message :Exchange);
  evidence @1 (reports :List(EvidenceReport)) -> (progress :List(RolloutProgress));
  floor @2 (host :Text) -> (version :UInt64, departed :Text);
  # What a host that has started again must not fall behind: its version, and the departure of its upstream.
  ping @3 () -> (host :Text, incarnation :UInt64);
  config @4 (heldVersion :UInt64, heldDigest :UInt64) -> (update :Data);
  # The configuration of the receiver as a compressed ConfigUpdate against the version that the caller holds;
  # heldVersion 0: a full snapshot. Empty if the receiver holds none.
  introduce @5 (record :HostRecord, parents :List(Text)) -> (records :List(HostRecord));
  # Announces the caller outside a link. Returns the records by which it finds its parents, and those of the parents
  # that it names.
}

# --- Operators ---

enum Status {
  ok @0;
  refused @1;            # The change is not valid; nothing was changed.
  conflict @2;           # A concurrent change was accepted first; nothing was changed (ABORTED).
  storeUnavailable @3;   # The store did not respond; nothing was changed.
  timeout @4;
  unknown @5;            # The store may or may not have applied the change; retry with the same operation id.
}

struct Outcome {
  status @0 :Status;
  message @1 :Text;
  version @2 :UInt64;
}

struct TimelineEvent {
  timeUs @0 :UInt64;
  host @1 :Text;
  kind @2 :Text;
  subject @3 :Text;
  version @4 :UInt64;
  text @5 :Text;
}

struct NodeStatus {
  host @0 :Text;
  heldVersion @1 :UInt64;
  knownVersion @2 :UInt64;
  role @3 :Text;
  parent @4 :Text;
  children @5 :UInt32;
  summary @6 :SubtreeSummary;
  storeReachable @7 :Bool;
  controlBytesIn @8 :UInt64;
  controlBytesOut @9 :UInt64;
  storeCalls @10 :UInt64;
  uptimeMs @11 :UInt64;
}

struct RolloutStatus {
  rollout @0 :Rollout;
  progress @1 :RolloutProgress;
  sharePerMille @2 :UInt32;
}

struct ExplainedHost {
  host @0 :Text;
  dataCentre @1 :Text;
  version @2 :Text;
  slots @3 :UInt32;
  occupancy @4 :UInt32;         # Requests that are estimated to run or wait there.
  serviceMs @5 :UInt32;         # Mean service time; 0: not known.
  failurePerMille @6 :UInt32;
  reportAgeMs @7 :Int64 = -1;   # Age of its last load report; -1: none.
  chancePerMille @8 :UInt32;    # Chance of the request's first attempt to go there.
  excluded @9 :List(Text);      # Why it gets no new requests; empty: it may get some.
}

struct ExplainedService {
  service @0 :Text;
  sharePerMille @1 :UInt32;     # Of the route's requests.
  version @2 :Text;
  newVersion @3 :Text;          # Of a running rollout; empty: none.
  newSharePerMille @4 :UInt32;
  hosts @5 :List(ExplainedHost);
}

struct Explanation {
  version @0 :UInt64;           # Of the configuration in force at the node; 0: none.
  route @1 :Text;               # Empty: no route matches.
  notes @2 :List(Text);         # What decides about the request before a host is chosen.
  services @3 :List(ExplainedService);
  host @4 :Text;                # Node that explains.
}

interface Operator {
  apply @0 (declarations :Declarations, operationId :Text, author :Text, baseVersion :UInt64, dryRun :Bool)
      -> (outcome :Outcome, changes :List(Text));
  # baseVersion: expected current version; 0: any. Errors: refused, conflict, storeUnavailable, unknown.
  startRollout @1 (rollout :Rollout, operationId :Text, author :Text) -> (outcome :Outcome);
  # Errors: refused (no such service, another rollout of the service, deadline too near), conflict, storeUnavailable, unknown.
  abortRollout @2 (id :Text, reason :Text) -> (outcome :Outcome);
  rollouts @3 () -> (rollouts :List(RolloutStatus));
  get @4 () -> (version :UInt64, declarations :Declarations);
  history @5 () -> (outcome :Outcome, operations :List(OperationRecord));
  inForce @6 (version :UInt64) -> (everywhere :Bool, nodes :UInt32, expected :UInt32, laggards :List(Text));
  status @7 () -> (nodes :List(NodeStatus), hosts :List(HostRecord));
  timeline @8 () -> (events :List(TimelineEvent), nowUs :UInt64);
  nodeStatus @9 () -> (node :NodeStatus);
  setLogLevel @10 (level :Text) -> (outcome :Outcome);
  drain @11 () -> (outcome :Outcome);
  explain @12 (host :Text, path :Text, workspace :Text, bytes :UInt64) -> (explanation :Explanation);
  # Where a request that arrives at this node would go now. Nothing is sent.
}
