/// @file outcome_type.cpp Names of outcomes and refusals.
#include "routing/outcome_type.h"

namespace jasmineloom {

std::string_view nameOf(Outcome outcome) {
  switch (outcome) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view nameOf(Refusal refusal) {
  switch (refusal) {
  case Refusal::None:
    return "none";
  case Refusal::NoRoute:
    return "no-route";
  case Refusal::NoConfig:
    return "no-config";
  case Refusal::NoUpstream:
    return "no-upstream";
  case Refusal::Draining:
    return "draining";
  case Refusal::Overloaded:
    return "overloaded";
  case Refusal::WrongUpstream:
    return "wrong-upstream";
  case Refusal::TakenBack:
    return "taken-back";
  case Refusal::Quarantined:
    return "quarantined";
  case Refusal::KeyInUse:
    return "key-in-use";
  case Refusal::KeyUnproved:
    return "key-unproved";
  case Refusal::KeyTableFull:
    return "key-table-full";
  case Refusal::Deadline:
    return "deadline";
  case Refusal::Busy:
    return "busy";
  case Refusal::NotTaken:
    return "not-taken";
  case Refusal::BadAnswer:
    return "bad-answer";
  case Refusal::UpstreamCut:
    return "upstream-cut";
  case Refusal::Evacuated:
    return "evacuated";
  case Refusal::WarmingUp:
    return "warming-up";
  case Refusal::NoKey:
    return "no-key";
  case Refusal::UnknownKey:
    return "unknown-key";
  case Refusal::ConfigUnproved:
    return "config-unproved";
  case Refusal::OverQuota:
    return "over-quota";
  case Refusal::QuotaUnknown:
    return "quota-unknown";
  case Refusal::Transport:
    return "transport";
  }
  return "none";
}

} // namespace jasmineloom
