/// @file wire_func.h Conversion of messages between nodes to and from Cap'n Proto.
#pragma once

#include "balance/explanation.h"
#include "mesh/mesh_node.h"
#include "timeline.h"

#include "jasmineloom.capnp.h"

namespace jasmineloom {

void writeExchange(wire::Exchange::Builder to, const ExchangeMessage &message);
void writeExplanation(wire::Explanation::Builder to, const Explanation &explanation);
ExchangeMessage readExchange(wire::Exchange::Reader from);
void writeRecord(wire::HostRecord::Builder to, const HostRecord &record);
HostRecord readRecord(wire::HostRecord::Reader from);
void writeProgress(wire::RolloutProgress::Builder to, const RolloutProgress &progress);
RolloutProgress readProgress(wire::RolloutProgress::Reader from);
void writeEvidence(wire::EvidenceReport::Builder to, const EvidenceReport &report);
EvidenceReport readEvidence(wire::EvidenceReport::Reader from);
void writeSummary(wire::SubtreeSummary::Builder to, const SubtreeSummary &summary);
SubtreeSummary readSummary(wire::SubtreeSummary::Reader from);
void writeEvent(wire::TimelineEvent::Builder to, const TimelineEvent &event);
TimelineEvent readEvent(wire::TimelineEvent::Reader from);

inline std::string wireText(capnp::Text::Reader from) { return {from.cStr(), from.size()}; }

} // namespace jasmineloom
