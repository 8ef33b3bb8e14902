/// @file config_proof.cpp What a node can prove about how recent its configuration is.
#include "workspace/config_proof.h"

#include <algorithm>

namespace jasmineloom {

namespace {

/// Proofs of versions kept; more than the versions in which a node lags.
constexpr std::size_t MaxProofs = 8;
/// Time after which a silent peer is forgotten.
constexpr DurationMs PeerMemory = 60 * MsPerSecond;

/// @returns a date on a peer's clock; 0 if it lies before the clock's start.
std::uint64_t dateOf(std::uint64_t echo, DurationMs age) { return echo > age ? echo - age : 0; }

} // namespace

bool ConfigProof::record(const Proof &proof, std::uint64_t era, ConfigVersion known) {
  if (era < Era)
    return false;
  if (era > Era) {
    Era = era;
    EraFloor = known;
    Proofs.clear();
  }
  const auto covers = [&proof](const Proof &it) {
    return it.Version <= proof.Version && it.At >= proof.At;
  };
  const bool useful = proof.Version != 0 && proof.At != 0 && proof.Version >= EraFloor &&
                      std::none_of(Proofs.begin(), Proofs.end(), covers);
  if (!useful)
    return false;
  std::erase_if(Proofs, [&proof](const Proof &it) {
    return it.Version >= proof.Version && it.At <= proof.At;
  });
  const auto next = std::find_if(Proofs.begin(), Proofs.end(),
                                 [&proof](const Proof &it) { return it.Version > proof.Version; });
  Proofs.insert(next, proof);
  if (Proofs.size() > MaxProofs)
    Proofs.erase(Proofs.begin());
  return true;
}

bool ConfigProof::recordAnswer(TimeMs sentAt, ConfigVersion newest, std::uint64_t era,
                               ConfigVersion known) {
  return record({newest, sentAt, ProofSource::Store}, era, known);
}

bool ConfigProof::recordStatement(const HostID &peer, std::uint64_t incarnation, bool echoIsOurs,
                                  const ProofStatement &statement, ProofSource source,
                                  ConfigVersion known, TimeMs now) {
  PeerState &state = Peers[peer];
  if (incarnation < state.Incarnation)
    return false;
  if (incarnation > state.Incarnation)
    state = PeerState{incarnation};
  state.HeardAt = now;
  state.Clock = std::max(state.Clock, statement.Clock);
  // A host's clock starts anew with the machine, so that an earlier process's echo is no date.
  if (!echoIsOurs || !statement.Age.has_value() || statement.Echo > now)
    return false;
  const TimeMs at = dateOf(statement.Echo, *statement.Age);
  state.ProvedAt = std::max(state.ProvedAt, at);
  return record({statement.Version, at, source}, statement.Era, known);
}

ProofStatement ConfigProof::statementFor(const HostID &peer, TimeMs now) {
  PeerState &state = Peers[peer];
  ProofStatement statement;
  statement.Clock = now;
  statement.Echo = state.Clock;
  if (Proofs.empty())
    return statement;
  statement.Age = now - std::min(now, Proofs.back().At);
  statement.Version = Proofs.back().Version;
  statement.Era = Era;
  state.StatedDate = std::max(state.StatedDate, dateOf(state.Clock, *statement.Age));
  return statement;
}

bool ConfigProof::hasNewsFor(const HostID &peer, TimeMs now) const {
  const auto it = Peers.find(peer);
  if (it == Peers.end() || it->second.Clock == 0 || Proofs.empty())
    return false;
  const PeerState &state = it->second;
  const TimeMs at = Proofs.back().At;
  return at >= state.ProvedAt + Step &&
         dateOf(state.Clock, now - std::min(now, at)) >= state.StatedDate + Step;
}

TimeMs ConfigProof::provedAt(ConfigVersion held) const {
  TimeMs at = 0;
  for (const Proof &proof : Proofs) {
    if (proof.Version <= held)
      at = std::max(at, proof.At);
  }
  return at;
}

void ConfigProof::prune(TimeMs now) {
  std::erase_if(Peers, [now](const auto &it) { return now > it.second.HeardAt + PeerMemory; });
}

} // namespace jasmineloom
