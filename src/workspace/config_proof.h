/// @file config_proof.h What a node can prove about how recent its configuration is.
#pragma once

#include "config/config_type.h"

#include <map>
#include <optional>
#include <vector>

namespace jasmineloom {

/// Periods of proofs, as parts of the time after which a key that was taken away is refused.
struct ProofTimes {
  DurationMs ReadAge = 0;   ///< Age of the proof at which the first of the readers asks the store.
  DurationMs RankDelay = 0; ///< Added for each reader that ranks before.
  DurationMs Step = 0;      ///< A proof is sent at once if the receiver can date it so much later.

  /// @param bound time for which a proof is of use.
  static constexpr ProofTimes forBound(DurationMs bound) {
    return {bound / 5, bound / 25, bound / 10};
  }
};

/// Where a proof comes from.
enum class ProofSource : std::uint8_t {
  Store, ///< This node's own call.
  OwnDataCentre,
  OtherDataCentre,
};

/// Part of a message between two nodes. Times are those of the boot clock of their host.
struct ProofStatement {
  std::uint64_t Clock = 0; ///< The sender's, at the time of sending; 0: not stated.
  std::uint64_t Echo = 0;  ///< Latest Clock of the receiver that the sender has seen; 0: none.
  /// Age of the proof that Version was the newest configuration; nullopt: none.
  std::optional<DurationMs> Age;
  ConfigVersion Version = 0;
  std::uint64_t Era = 0; ///< Of the store that proved it.
  auto operator<=>(const ProofStatement &) const = default;
};

/// The latest times at which versions of the configuration are known to have been the newest.
/// A proof is an answer of the store that can't be stale, dated by when the call was sent, or a
/// statement of a peer, dated by when the node sent the clock that the peer echoes: the peer has
/// computed the age after that. So a proof is never dated too late, however long a call or a
/// message takes, and no two clocks are compared. All times are of this host's boot clock, which
/// counts the time for which the machine is suspended.
class ConfigProof {
public:
  explicit ConfigProof(DurationMs step) : Step(step) {}

  /// Records that the store has shown a version as the newest.
  /// @param sentAt when the call was sent.
  /// @param era see StoreResponse::Era.
  /// @param known highest version known to exist.
  /// @returns whether it proves anything later than before.
  bool recordAnswer(TimeMs sentAt, ConfigVersion newest, std::uint64_t era, ConfigVersion known);

  /// Records a peer's statement.
  /// @param incarnation of the peer's process.
  /// @param echoIsOurs the peer echoes a clock of this process, not of an earlier one.
  /// @returns whether it proves anything later than before.
  bool recordStatement(const HostID &peer, std::uint64_t incarnation, bool echoIsOurs,
                       const ProofStatement &statement, ProofSource source, ConfigVersion known,
                       TimeMs now);

  /// Builds the statement for a message that is sent now, and records it.
  ProofStatement statementFor(const HostID &peer, TimeMs now);

  /// @returns whether a statement sent now would prove a Step more to the peer than the last one.
  bool hasNewsFor(const HostID &peer, TimeMs now) const;

  /// @returns the latest time at which no version newer than \p held existed; 0: none is known.
  TimeMs provedAt(ConfigVersion held) const;
  /// @returns the time of the latest proof of any version; 0: none.
  TimeMs latest() const { return Proofs.empty() ? 0 : Proofs.back().At; }
  /// @returns where the latest proof comes from.
  ProofSource source() const {
    return Proofs.empty() ? ProofSource::OwnDataCentre : Proofs.back().Source;
  }

  /// Forgets peers that have not been heard of for long.
  void prune(TimeMs now);

private:
  struct Proof {
    ConfigVersion Version = 0;
    TimeMs At = 0;
    ProofSource Source = ProofSource::Store;
  };
  struct PeerState {
    std::uint64_t Incarnation = 0;
    std::uint64_t Clock = 0; ///< Latest that was received.
    TimeMs HeardAt = 0;
    TimeMs ProvedAt = 0;          ///< Of the latest proof that the peer has stated.
    std::uint64_t StatedDate = 0; ///< Date on the peer's clock of the latest one stated to it.
  };

  bool record(const Proof &proof, std::uint64_t era, ConfigVersion known);

  DurationMs Step;
  std::uint64_t Era = 0;
  /// Highest version known when the store's era began; a store that shows a lower one has lost
  /// changes, and proves nothing.
  ConfigVersion EraFloor = 0;
  /// By rising version and time: a node that holds an older version has its own proof.
  std::vector<Proof> Proofs;
  std::map<HostID, PeerState> Peers;
};

} // namespace jasmineloom
