/// @file ids_type.h Strong identifiers of the objects that the system names.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace jasmineloom {

/// A name that can't be mistaken for the name of another kind of object.
/// @tparam TagT distinguishes the kinds.
template <typename TagT> class StrongName {
public:
  StrongName() = default;
  explicit StrongName(std::string text) : Text(std::move(text)) {}

  /// @returns the text of the name.
  const std::string &str() const { return Text; }
  /// @returns whether no name was given.
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

/// Version of the accepted configuration; rises by one with each accepted change. 0: none.
using ConfigVersion = std::uint64_t;

/// Unix time in milliseconds. Every function that decides takes the present time as an argument.
using TimeMs = std::uint64_t;
using DurationMs = std::uint64_t;

constexpr DurationMs MsPerSecond = 1000;

} // namespace jasmineloom

template <typename TagT> struct std::hash<jasmineloom::StrongName<TagT>> {
  std::size_t operator()(const jasmineloom::StrongName<TagT> &name) const noexcept {
    return std::hash<std::string>()(name.str());
  }
};
