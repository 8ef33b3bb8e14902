/// @file change_cmd.cpp One operator's change, from the head's reading to its acceptance.
#include "config/change_cmd.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

ChangeCommand::ChangeCommand(ChangeRequest request, SnapshotPtr held, TimeMs now)
    : Request(std::move(request)), Held(std::move(held)), Now(now) {}

ChangeStep ChangeCommand::start() { return StoreRequest(StoreRead{HeadKey}); }

ChangeOutcome ChangeCommand::failed(ChangeStatus status, const std::string &message) const {
  return {status, message, Current.Version, nullptr};
}

ChangeOutcome ChangeCommand::accepted() const {
  return {ChangeStatus::Accepted, absl::StrCat("version ", NextHead.Version, " accepted"),
          NextHead.Version, Next};
}

ChangeStep ChangeCommand::onResponse(const StoreResponse &answer) {
  switch (Where) {
  case Phase::ReadHead:
    return headRead(answer);
  case Phase::ReadSection:
    return sectionRead(answer);
  case Phase::PutSection:
    return sectionPut(answer);
  case Phase::SwapHead:
    return headSwapped(answer);
  case Phase::Recheck:
    return rechecked(answer);
  }
  return failed(ChangeStatus::Unknown, "no such phase");
}

bool ChangeCommand::rememberHead(const StoreResponse &answer) {
  Current = {};
  Revision = 0;
  if (answer.Entries.empty())
    return true;
  absl::StatusOr<Head> head = decodeHead(answer.Entries.front().Value);
  if (!head.ok())
    return false;
  Current = *std::move(head);
  Revision = answer.Entries.front().Revision;
  return true;
}

ChangeStep ChangeCommand::headRead(const StoreResponse &answer) {
  if (answer.Result != StoreResult::Ok)
    return failed(ChangeStatus::StoreUnavailable,
                  "the store does not answer; nothing was changed, and what was accepted stays in "
                  "force");
  if (!rememberHead(answer))
    return failed(ChangeStatus::Refused, "the head in the store can't be read");
  if (const OperationRecord *done = findOperation(Current, Request.Operation); done != nullptr)
    return ChangeOutcome{ChangeStatus::Accepted,
                         absl::StrCat("version ", done->Version, " was accepted before"),
                         done->Version, nullptr};
  if (Request.BaseVersion != 0 && Request.BaseVersion != Current.Version) {
    const std::string author =
        Current.Operations.empty() ? "unknown" : Current.Operations.back().Author;
    return failed(ChangeStatus::Conflict,
                  absl::StrCat("ABORTED: version ", Current.Version, " by ", author,
                               " won against version ", Request.BaseVersion));
  }
  ToRead = missingSections(Current.Sections, Held.get());
  return nextSection();
}

ChangeStep ChangeCommand::nextSection() {
  if (ToRead.empty())
    return prepare();
  Where = Phase::ReadSection;
  return StoreRequest(StoreRead{SectionPrefix + ToRead.back().Hash});
}

ChangeStep ChangeCommand::sectionRead(const StoreResponse &answer) {
  if (answer.Result != StoreResult::Ok)
    return failed(ChangeStatus::StoreUnavailable, "the store does not answer; nothing was changed");
  if (answer.Entries.empty())
    return failed(ChangeStatus::Conflict,
                  absl::StrCat("ABORTED: section ", ToRead.back().Hash,
                               " is gone, another change has won; nothing was changed"));
  absl::StatusOr<std::vector<ConfigObjectPtr>> objects =
      decodeSection(answer.Entries.front().Value);
  if (!objects.ok())
    return failed(ChangeStatus::Refused, absl::StrCat("section ", ToRead.back().Hash,
                                                      " can't be read; nothing was changed"));
  Read.insert(Read.end(), objects->begin(), objects->end());
  ToRead.pop_back();
  return nextSection();
}

ChangeStep ChangeCommand::prepare() {
  absl::StatusOr<SnapshotPtr> base = assembleSnapshot(Current, Held.get(), Read);
  if (!base.ok())
    return failed(ChangeStatus::Refused, std::string(base.status().message()));
  absl::StatusOr<std::vector<ConfigObjectPtr>> objects = Request.Change(**base);
  if (!objects.ok())
    return failed(ChangeStatus::Refused, std::string(objects.status().message()));
  Next = makeSnapshot(Current.Version + 1, *objects);
  if (absl::Status status = validateSnapshot(*Next); !status.ok())
    return failed(ChangeStatus::Refused, std::string(status.message()));
  Changes = describeDelta(base->get(), diffSnapshots(base->get(), *Next));
  if (Request.DryRun || Changes.empty())
    return ChangeOutcome{ChangeStatus::Accepted,
                         Changes.empty() ? "nothing to change" : "valid; nothing was changed",
                         Current.Version, nullptr};
  NextHead.Version = Next->Version;
  NextHead.Digest = Next->Digest;
  NextHead.Sections = sectionsOf(*Next);
  NextHead.Operations = Current.Operations;
  NextHead.Operations.push_back(
      {Request.Operation, Next->Version, Request.Author, Request.Summary, Now});
  if (NextHead.Operations.size() > MaxOperations)
    NextHead.Operations.erase(NextHead.Operations.begin());
  for (const SectionRef &section : Current.Sections) {
    const auto &kept = NextHead.Sections;
    if (std::find(kept.begin(), kept.end(), section) == kept.end())
      NextHead.Retired.push_back(section.Hash);
  }
  ToPut = missingSections(NextHead.Sections, base->get());
  return nextPut();
}

ChangeStep ChangeCommand::nextPut() {
  if (ToPut.empty())
    return swap();
  Where = Phase::PutSection;
  const SectionRef &section = ToPut.back();
  return StoreRequest(StorePut{SectionPrefix + section.Hash,
                               encodeSection(sectionObjects(*Next, section.Index)), 0});
}

ChangeStep ChangeCommand::sectionPut(const StoreResponse &answer) {
  if (answer.Result != StoreResult::Ok)
    return failed(ChangeStatus::StoreUnavailable, "the store does not answer; nothing was changed");
  ToPut.pop_back();
  return nextPut();
}

ChangeStep ChangeCommand::swap() {
  Where = Phase::SwapHead;
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

ChangeStep ChangeCommand::headSwapped(const StoreResponse &answer) {
  if (answer.Result == StoreResult::Ok)
    return accepted();
  if (answer.Result == StoreResult::Unavailable && !SwapSent)
    return failed(ChangeStatus::StoreUnavailable, "the store does not answer; nothing was changed");
  SwapSent = true;
  return recheck();
}

ChangeStep ChangeCommand::recheck() {
  if (Rechecks == MaxRechecks)
    return failed(ChangeStatus::Unknown,
                  absl::StrCat("the store's answer was lost; ask again with operation id ",
                               Request.Operation.str()));
  ++Rechecks;
  Where = Phase::Recheck;
  return StoreRequest(StoreRead{HeadKey});
}

ChangeStep ChangeCommand::rechecked(const StoreResponse &answer) {
  if (answer.Result != StoreResult::Ok)
    return recheck();
  const std::int64_t expected = Revision;
  if (!rememberHead(answer))
    return recheck();
  if (findOperation(Current, Request.Operation) != nullptr)
    return accepted();
  // The swap may still be under way: the same comparison lets at most one of both take effect.
  if (Revision == expected)
    return swap();
  const std::string author =
      Current.Operations.empty() ? "unknown" : Current.Operations.back().Author;
  return failed(ChangeStatus::Conflict,
                absl::StrCat("ABORTED: version ", Current.Version, " by ", author, " won"));
}

} // namespace jasmineloom
