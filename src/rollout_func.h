/// @file rollout_func.h Share of the new version, decision rules, and the steward's next step.
#pragma once

#include "config_type.h"
#include "rollout_type.h"

#include <optional>
#include <variant>

namespace jasmineloom {

constexpr std::uint32_t FullShare = 1000; ///< Shares are per mille.

/// Shortest time between a rollout's start and its deadline.
constexpr DurationMs MinRolloutDuration = 8 * MsPerSecond;

/// Merges progress that came from elsewhere.
/// @returns whether \p held changed.
bool mergeProgress(RolloutProgress &held, const RolloutProgress &other);

/// @returns the latest stage that the schedule allows at \p now; the number of stages means done.
std::uint32_t scheduledStage(const RolloutSpec &spec, TimeMs now);

/// @returns the new version's share in per mille.
std::uint32_t shareOf(const RolloutSpec &spec, const RolloutProgress &progress, TimeMs now);

/// What a rule says of a new version.
enum class Verdict : std::uint8_t { Undecided, Good, Bad };

/// Wald's sequential probability ratio test on failures and on slow requests.
/// Source: A. Wald, Sequential Analysis, 1947.
struct SequentialRatioRule {
  double BadLogRatio = 9.0;
  double GoodLogRatio = -3.0;
};

/// Compares one-sided Wilson score bounds of the two rates.
/// Source: E. B. Wilson, JASA 22 (1927).
struct ScoreBoundRule {
  double Z = 3.5;
  std::uint64_t GoodRequests = 300;
};

/// Compares the plain rates once there are enough requests.
struct ThresholdRule {
  double Excess = 0.03;
  std::uint64_t MinRequests = 100;
};

using DecisionRule = std::variant<SequentialRatioRule, ScoreBoundRule, ThresholdRule>;

/// Compares the new version's counts with the old one's.
Verdict judge(const DecisionRule &rule, const VersionCounts &oldCounts,
              const VersionCounts &newCounts);

/// Evidence of one rollout, merged from all gates of the service.
class EvidenceBook {
public:
  /// Takes a report; a report for the same host and bucket replaces the earlier one.
  void take(const EvidenceReport &report);

  /// @returns the sums over the last \p buckets whole buckets before \p now.
  EvidenceCounts sum(TimeMs now, std::uint64_t buckets) const;

  /// Remembers the old version's behaviour, for when it gets little traffic.
  void noteBaseline(const RolloutSpec &spec, TimeMs now);

  /// @returns the remembered counts of the old version.
  const EvidenceCounts &baseline() const { return Baseline; }

private:
  struct Cell {
    HostID Host;
    std::uint64_t Bucket = 0;
    auto operator<=>(const Cell &) const = default;
  };
  struct CellContent {
    std::uint64_t Incarnation = 0;
    EvidenceCounts Counts;
  };
  std::map<Cell, CellContent> Cells;
  EvidenceCounts Baseline;
  std::uint64_t BaselineBucket = 0;
};

/// Decides a rollout's next step.
/// @returns the new progress, or nothing if the rollout stays as it is.
std::optional<RolloutProgress> decideRollout(const DecisionRule &rule, const RolloutSpec &spec,
                                             const RolloutProgress &progress,
                                             const EvidenceBook &book, TimeMs now);

} // namespace jasmineloom
