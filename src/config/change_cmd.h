/// @file change_cmd.h One operator's change, from the head's reading to its acceptance.
#pragma once

#include "config/head_func.h"
#include "store/store_type.h"

#include <functional>
#include <variant>

namespace jasmineloom {

/// How a change ended.
enum class ChangeStatus : std::uint8_t {
  Accepted,
  Refused,          ///< Not valid; nothing was changed.
  Conflict,         ///< Another change won; nothing was changed.
  StoreUnavailable, ///< Nothing was changed.
  Unknown,          ///< The store may have taken the change; ask again by the operation id.
};

struct ChangeOutcome {
  ChangeStatus Status = ChangeStatus::Unknown;
  std::string Message;
  ConfigVersion Version = 0; ///< Accepted, or the one that won.
  SnapshotPtr Snapshot;      ///< The accepted configuration, where it is known.
};

/// Works out the objects after a change.
/// @returns the reason if the change makes no sense against \p base.
using ChangeFunction =
    std::function<absl::StatusOr<std::vector<ConfigObjectPtr>>(const Snapshot &base)>;

/// What an operator asks for.
struct ChangeRequest {
  OperationID Operation;
  std::string Author;
  std::string Summary;
  ConfigVersion BaseVersion = 0; ///< 0: against whatever is accepted.
  bool DryRun = false;
  ChangeFunction Change;
};

/// What the command wants next.
using ChangeStep = std::variant<StoreRequest, ChangeOutcome>;

/// Drives one change. The test run validates against the head; the execution writes the sections
/// first and accepts them all with one swap of the head.
class ChangeCommand {
public:
  /// @param held snapshot that the node holds, may be null; saves reads.
  ChangeCommand(ChangeRequest request, SnapshotPtr held, TimeMs now);

  /// @returns the first step.
  ChangeStep start();
  /// @returns the step after a store's answer to the last request.
  ChangeStep onResponse(const StoreResponse &answer);
  /// @returns a line for each object that the change touches.
  const std::vector<std::string> &changes() const { return Changes; }

private:
  enum class Phase : std::uint8_t { ReadHead, ReadSection, PutSection, SwapHead, Recheck };

  ChangeStep headRead(const StoreResponse &answer);
  ChangeStep sectionRead(const StoreResponse &answer);
  ChangeStep sectionPut(const StoreResponse &answer);
  ChangeStep headSwapped(const StoreResponse &answer);
  ChangeStep rechecked(const StoreResponse &answer);
  ChangeStep nextSection();
  ChangeStep prepare();
  ChangeStep nextPut();
  ChangeStep swap();
  ChangeStep recheck();
  ChangeOutcome accepted() const;
  ChangeOutcome failed(ChangeStatus status, const std::string &message) const;
  bool rememberHead(const StoreResponse &answer);

  ChangeRequest Request;
  SnapshotPtr Held;
  TimeMs Now;
  Phase Where = Phase::ReadHead;
  Head Current;
  std::int64_t Revision = 0;
  std::vector<SectionRef> ToRead;
  std::vector<ConfigObjectPtr> Read;
  SnapshotPtr Next;
  Head NextHead;
  std::vector<SectionRef> ToPut;
  std::vector<std::string> Changes;
  std::uint32_t Rechecks = 0;
  bool SwapSent = false;
};

/// Rechecks after a lost answer before the outcome is told as unknown.
constexpr std::uint32_t MaxRechecks = 5;

} // namespace jasmineloom
