/// @file change_cmd.h State machine that applies an operator's change by compare-and-swap of the
/// head.
#pragma once

#include "config/head_func.h"
#include "store/store_type.h"

#include <functional>
#include <variant>

namespace jasmineloom {

enum class ChangeStatus : std::uint8_t {
  Accepted,
  Refused,          ///< The change is not valid; nothing was changed.
  Conflict,         ///< A concurrent change was accepted first; nothing was changed.
  StoreUnavailable, ///< The store did not respond; nothing was changed.
  Unknown,          ///< The store may have applied the change; retry with the same operation id.
};

struct ChangeOutcome {
  ChangeStatus Status = ChangeStatus::Unknown;
  std::string Message;
  ConfigVersion Version = 0; ///< The accepted version, otherwise the current one; 0: unknown.
  SnapshotPtr Snapshot;      ///< Set only for a change accepted by this call.
};

/// Computes the objects after a change.
/// @returns an error with the reason if the change can't be applied to \p base.
using ChangeFunction =
    std::function<absl::StatusOr<std::vector<ConfigObjectPtr>>(const Snapshot &base)>;

/// A change requested by an operator.
struct ChangeRequest {
  OperationID Operation;
  std::string Author;
  std::string Summary;
  ConfigVersion BaseVersion = 0; ///< Expected current version; 0: any.
  bool DryRun = false;
  ChangeFunction Change;
};

/// @returns the change that accepts the objects of a version again, if the store has come back from
/// an older copy without it; a store with this or a later version is left as it is.
ChangeRequest restoreRequest(const SnapshotPtr &lost);

/// Next store request, or the final outcome.
using ChangeStep = std::variant<StoreRequest, ChangeOutcome>;

/// Applies one change without doing any I/O itself: each step yields a store request or the
/// outcome. A dry run only validates the change against the current head. Otherwise the new
/// sections are written first, and one compare-and-swap of the head then accepts all of them.
class ChangeCommand {
public:
  /// @param held snapshot that the node holds, or null; its sections are not read from the store.
  ChangeCommand(ChangeRequest request, SnapshotPtr held, TimeMs now);

  ChangeStep start();
  /// Handles the store's response to the last request.
  /// @returns the next step.
  ChangeStep onResponse(const StoreResponse &response);
  /// @returns one line for each object that the change adds, changes or removes.
  const std::vector<std::string> &changes() const { return Changes; }

private:
  enum class Phase : std::uint8_t { ReadHead, ReadSection, PutSection, SwapHead, Recheck };

  ChangeStep onHeadRead(const StoreResponse &response);
  ChangeStep onSectionRead(const StoreResponse &response);
  ChangeStep onSectionPut(const StoreResponse &response);
  ChangeStep onHeadSwapped(const StoreResponse &response);
  ChangeStep onHeadRechecked(const StoreResponse &response);
  ChangeStep readNextSection();
  ChangeStep prepareChange();
  ChangeStep putNextSection();
  ChangeStep swapHead();
  ChangeStep recheckHead();
  ChangeOutcome accepted() const;
  ChangeOutcome failed(ChangeStatus status, const std::string &message) const;
  bool loadHead(const StoreResponse &response);

  ChangeRequest Request;
  SnapshotPtr Held;
  TimeMs Now;
  Phase CurrentPhase = Phase::ReadHead;
  Head Current;
  std::int64_t Revision = 0; ///< Of the head when it was last read; 0: there was none.
  std::vector<SectionRef> SectionsToRead;
  std::vector<ConfigObjectPtr> ReadObjects;
  SnapshotPtr NextSnapshot;
  Head NextHead;
  std::vector<SectionRef> SectionsToPut;
  std::vector<std::string> Changes;
  std::uint32_t Rechecks = 0;
  bool SwapSent = false; ///< A swap of the head may have reached the store.
};

/// Reads of the head after a lost response before the outcome is reported as unknown.
constexpr std::uint32_t MaxRechecks = 5;

} // namespace jasmineloom
