/// @file config_fetch.h Decides from which peer a node fetches a newer configuration.
#pragma once

#include "ids_type.h"

#include <map>
#include <optional>
#include <vector>

namespace jasmineloom {

/// A peer that holds a newer configuration than this node.
struct ConfigOffer {
  HostID Peer;
  ConfigVersion Version = 0;
  TimeMs KnownSince = 0;  ///< When this node first learned that it lacks what the peer holds.
  bool Local = false;     ///< In the node's own data centre.
  bool IsChild = false;   ///< Reports to this node.
  bool IsAssumed = false; ///< The peer has not stated that it holds the version.
  auto operator<=>(const ConfigOffer &) const = default;
};

/// Allows one fetch at a time: a second copy of a version would only delay the first on a slow
/// link.
class ConfigFetch {
public:
  /// @param retryDelay time for which a peer is avoided after a failed fetch.
  explicit ConfigFetch(DurationMs retryDelay) : RetryDelay(retryDelay) {}

  /// Starts a fetch unless one is in progress.
  /// @param minAge time for which an offer must have been known.
  /// @returns the peer to fetch from; nullopt if there is none.
  std::optional<HostID> start(const std::vector<ConfigOffer> &offers, DurationMs minAge,
                              TimeMs now);

  /// Ends the fetch in progress.
  /// @param held version that this node holds now. If it is older than the offered one, the peer is
  /// avoided for the retry delay.
  void end(ConfigVersion held, TimeMs now);

  /// Ends the fetch in progress with a configuration that is not valid for this node. Its peer is
  /// avoided for longer, but only while it holds the same one.
  void endRefused(TimeMs now);

  /// Ends the fetch in progress with a delta that needs another base; the same peer may be asked
  /// for a full snapshot at once.
  void endForFull() { Current.reset(); }

  bool inProgress() const { return Current.has_value(); }

private:
  /// Time in which nothing is fetched from a peer.
  struct Avoidance {
    TimeMs Until = 0;
    std::optional<ConfigVersion> Refused; ///< Only offers of up to this version are avoided.
  };

  bool isAvoided(const ConfigOffer &offer) const;

  DurationMs RetryDelay;
  std::optional<ConfigOffer> Current; ///< Offer of the fetch in progress.
  std::map<HostID, Avoidance> Avoided;
};

} // namespace jasmineloom
