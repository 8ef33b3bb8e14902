/// @file ids_type.h Strongly typed identifiers, and units of time.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace jasmineloom {

/// A string whose type keeps names of different kinds of objects apart.
/// @tparam TagT the kind of object.
template <typename TagT> class StrongName {
public:
  StrongName() = default;
  explicit StrongName(std::string text) : Text(std::move(text)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  auto operator<=>(const StrongName &) const = default;

private:
  std::string Text;
};

template <typename TagT> std::ostream &operator<<(std::ostream &os, const StrongName<TagT> &name) {
  return os << name.str();
}

using HostID = StrongName<struct HostTag>;
using ServiceName = StrongName<struct ServiceTag>;
using RouteName = StrongName<struct RouteTag>;
using RolloutID = StrongName<struct RolloutTag>;
using VersionLabel = StrongName<struct VersionTag>;
using DataCentreName = StrongName<struct DataCentreTag>;
using OperationID = StrongName<struct OperationTag>;
using WorkspaceName = StrongName<struct WorkspaceTag>;

/// Version of the accepted configuration; increases by one with each accepted change. 0: none.
using ConfigVersion = std::uint64_t;

/// Unix or monotonic time in milliseconds. Decision functions take the current time as an argument.
using TimeMs = std::uint64_t;
using DurationMs = std::uint64_t;

constexpr DurationMs MsPerSecond = 1000;

} // namespace jasmineloom

template <typename TagT> struct std::hash<jasmineloom::StrongName<TagT>> {
  std::size_t operator()(const jasmineloom::StrongName<TagT> &name) const noexcept {
    return std::hash<std::string>()(name.str());
  }
};
