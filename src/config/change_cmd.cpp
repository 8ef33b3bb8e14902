/// @file change_cmd.cpp State machine that applies an operator's change by compare-and-swap of the
/// head.
#include "config/change_cmd.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

ChangeRequest restoreRequest(const SnapshotPtr &lost) {
  ChangeRequest request;
  // Of several nodes that restore the version, one does.
  request.Operation = OperationID(absl::StrCat("restore-", lost->Version));
  request.Author = "jasmineloom";
  request.Summary = absl::StrCat("restores version ", lost->Version, ", which the store lost");
  request.Change = [lost](const Snapshot &base) -> absl::StatusOr<std::vector<ConfigObjectPtr>> {
    std::vector<ConfigObjectPtr> objects;
    for (const auto &[key, entry] : (base.Version < lost->Version ? *lost : base).Objects)
      objects.push_back(entry.Object);
    return objects;
  };
  return request;
}

ChangeCommand::ChangeCommand(ChangeRequest request, SnapshotPtr held, TimeMs now)
    : Request(std::move(request)), Held(std::move(held)), Now(now) {}

ChangeStep ChangeCommand::start() { return StoreRequest(StoreRead{HeadKey}); }

ChangeOutcome ChangeCommand::failed(ChangeStatus status, const std::string &message) const {
  return {status, message, Current.Version, nullptr};
}

ChangeOutcome ChangeCommand::accepted() const {
  return {ChangeStatus::Accepted, absl::StrCat("version ", NextHead.Version, " accepted"),
          NextHead.Version, NextSnapshot};
}

ChangeStep ChangeCommand::onResponse(const StoreResponse &response) {
  switch (CurrentPhase) {
  case Phase::ReadHead:
    return onHeadRead(response);
  case Phase::ReadSection:
    return onSectionRead(response);
  case Phase::PutSection:
    return onSectionPut(response);
  case Phase::SwapHead:
    return onHeadSwapped(response);
  case Phase::Recheck:
    return onHeadRechecked(response);
  }
  return failed(ChangeStatus::Unknown, "invalid change phase");
}

bool ChangeCommand::loadHead(const StoreResponse &response) {
  Current = {};
  Revision = 0;
  if (response.Entries.empty())
    return true;
  absl::StatusOr<Head> head = decodeHead(response.Entries.front().Value);
  if (!head.ok())
    return false;
  Current = *std::move(head);
  Revision = response.Entries.front().Revision;
  return true;
}

ChangeStep ChangeCommand::onHeadRead(const StoreResponse &response) {
  if (response.Result != StoreResult::Ok)
    return failed(ChangeStatus::StoreUnavailable,
                  "the store did not respond; nothing was changed, and what was accepted stays in "
                  "force");
  if (!loadHead(response))
    return failed(ChangeStatus::Refused, "the head in the store can't be decoded");
  if (const OperationRecord *done = findOperation(Current, Request.Operation); done != nullptr)
    return ChangeOutcome{ChangeStatus::Accepted,
                         absl::StrCat("version ", done->Version, " was accepted before"),
                         done->Version, nullptr};
  if (Request.BaseVersion != 0 && Request.BaseVersion != Current.Version) {
    const std::string author =
        Current.Operations.empty() ? "unknown" : Current.Operations.back().Author;
    return failed(ChangeStatus::Conflict,
                  absl::StrCat("ABORTED: version ", Current.Version, " by ", author,
                               " replaced base version ", Request.BaseVersion));
  }
  SectionsToRead = missingSections(Current.Sections, Held.get());
  return readNextSection();
}

ChangeStep ChangeCommand::readNextSection() {
  if (SectionsToRead.empty())
    return prepareChange();
  CurrentPhase = Phase::ReadSection;
  return StoreRequest(StoreRead{SectionPrefix + SectionsToRead.back().Hash});
}

ChangeStep ChangeCommand::onSectionRead(const StoreResponse &response) {
  if (response.Result != StoreResult::Ok)
    return failed(ChangeStatus::StoreUnavailable, "the store did not respond; nothing was changed");
  if (response.Entries.empty())
    return failed(ChangeStatus::Conflict,
                  absl::StrCat("ABORTED: section ", SectionsToRead.back().Hash,
                               " was deleted by a concurrent change; nothing was changed"));
  absl::StatusOr<std::vector<ConfigObjectPtr>> objects =
      decodeSection(response.Entries.front().Value);
  if (!objects.ok())
    return failed(ChangeStatus::Refused, absl::StrCat("section ", SectionsToRead.back().Hash,
                                                      " can't be decoded; nothing was changed"));
  ReadObjects.insert(ReadObjects.end(), objects->begin(), objects->end());
  SectionsToRead.pop_back();
  return readNextSection();
}

ChangeStep ChangeCommand::prepareChange() {
  absl::StatusOr<SnapshotPtr> base = assembleSnapshot(Current, Held.get(), ReadObjects);
  if (!base.ok())
    return failed(ChangeStatus::Refused, std::string(base.status().message()));
  absl::StatusOr<std::vector<ConfigObjectPtr>> objects = Request.Change(**base);
  if (!objects.ok())
    return failed(ChangeStatus::Refused, std::string(objects.status().message()));
  // A store that came back from an older copy knows none of the latest versions. Nodes that hold
  // them would take a number given out again for the version that they have.
  const ConfigVersion held = Held ? Held->Version : 0;
  const bool storeLost = held > Current.Version;
  NextSnapshot = makeSnapshot(std::max(Current.Version, held) + 1, *objects);
  if (absl::Status status = validateSnapshot(*NextSnapshot); !status.ok())
    return failed(ChangeStatus::Refused, std::string(status.message()));
  Changes = describeDelta(base->get(), diffSnapshots(base->get(), *NextSnapshot));
  // Without changes, the nodes still hold the version that the store lost.
  if (Request.DryRun || (Changes.empty() && !storeLost))
    return ChangeOutcome{ChangeStatus::Accepted,
                         Changes.empty() ? "nothing to change" : "valid; nothing was changed",
                         Current.Version, nullptr};
  NextHead.Version = NextSnapshot->Version;
  NextHead.Digest = NextSnapshot->Digest;
  NextHead.Sections = sectionsOf(*NextSnapshot);
  NextHead.Operations = Current.Operations;
  NextHead.Operations.push_back(
      {Request.Operation, NextSnapshot->Version, Request.Author, Request.Summary, Now});
  if (NextHead.Operations.size() > MaxOperations)
    NextHead.Operations.erase(NextHead.Operations.begin());
  for (const SectionRef &section : Current.Sections) {
    const auto &kept = NextHead.Sections;
    if (std::find(kept.begin(), kept.end(), section) == kept.end())
      NextHead.Retired.push_back(section.Hash);
  }
  SectionsToPut = missingSections(NextHead.Sections, base->get());
  return putNextSection();
}

ChangeStep ChangeCommand::putNextSection() {
  if (SectionsToPut.empty())
    return swapHead();
  CurrentPhase = Phase::PutSection;
  const SectionRef &section = SectionsToPut.back();
  return StoreRequest(StorePut{SectionPrefix + section.Hash,
                               encodeSection(sectionObjects(*NextSnapshot, section.Index)), 0});
}

ChangeStep ChangeCommand::onSectionPut(const StoreResponse &response) {
  if (response.Result != StoreResult::Ok)
    return failed(ChangeStatus::StoreUnavailable, "the store did not respond; nothing was changed");
  SectionsToPut.pop_back();
  return putNextSection();
}

ChangeStep ChangeCommand::swapHead() {
  CurrentPhase = Phase::SwapHead;
  StoreCompareAndSwap request{HeadKey, encodeHead(NextHead), Revision, {}};
  for (const std::string &hash : Current.Retired) {
    const bool inUse =
        std::any_of(NextHead.Sections.begin(), NextHead.Sections.end(),
                    [&hash](const SectionRef &section) { return section.Hash == hash; });
    if (!inUse)
      request.Deletions.push_back(SectionPrefix + hash);
  }
  return StoreRequest(request);
}

ChangeStep ChangeCommand::onHeadSwapped(const StoreResponse &response) {
  if (response.Result == StoreResult::Ok)
    return accepted();
  if (response.Result == StoreResult::Unavailable && !SwapSent)
    return failed(ChangeStatus::StoreUnavailable, "the store did not respond; nothing was changed");
  SwapSent = true;
  return recheckHead();
}

ChangeStep ChangeCommand::recheckHead() {
  if (Rechecks == MaxRechecks)
    return failed(ChangeStatus::Unknown,
                  absl::StrCat("the store's response was lost and the change may be in effect; "
                               "retry with operation id ",
                               Request.Operation.str()));
  ++Rechecks;
  CurrentPhase = Phase::Recheck;
  return StoreRequest(StoreRead{HeadKey});
}

ChangeStep ChangeCommand::onHeadRechecked(const StoreResponse &response) {
  if (response.Result != StoreResult::Ok)
    return recheckHead();
  const std::int64_t expected = Revision;
  if (!loadHead(response))
    return recheckHead();
  if (findOperation(Current, Request.Operation) != nullptr)
    return accepted();
  // The earlier swap may still take effect. Both compare with the same revision, so that at most
  // one of them succeeds.
  if (Revision == expected)
    return swapHead();
  const std::string author =
      Current.Operations.empty() ? "unknown" : Current.Operations.back().Author;
  return failed(ChangeStatus::Conflict, absl::StrCat("ABORTED: version ", Current.Version, " by ",
                                                     author, " was applied first"));
}

} // namespace jasmineloom
