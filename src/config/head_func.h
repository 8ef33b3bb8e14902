/// @file head_func.h Stored form of the accepted configuration: a head and its sections.
#pragma once

#include "config/config_func.h"

#include <string>
#include <vector>

namespace jasmineloom {

constexpr const char *HeadKey = "/jasmineloom/head";
constexpr const char *SectionPrefix = "/jasmineloom/section/";
constexpr const char *RootPrefix = "/jasmineloom/root/";
/// Followed by data centre, host and ID of an upstream that has departed.
constexpr const char *DeparturePrefix = "/jasmineloom/departed/";
/// Number of sections; the hash of an object's key modulo this number selects its section.
constexpr std::uint32_t SectionCount = 64;
/// Number of most recent operations that the head records. A retry with one of their ids is not
/// applied again.
constexpr std::size_t MaxOperations = 200;

/// One accepted change.
struct OperationRecord {
  OperationID ID;
  ConfigVersion Version = 0;
  std::string Author;
  std::string Summary;
  TimeMs Time = 0;
  bool operator==(const OperationRecord &) const = default;
};

struct SectionRef {
  std::uint32_t Index = 0;
  std::string Hash;
  bool operator==(const SectionRef &) const = default;
};

/// Record of the accepted version, which refers to its sections; replacing it by compare-and-swap
/// accepts a change.
struct Head {
  ConfigVersion Version = 0;
  std::uint64_t Digest = 0;
  std::vector<SectionRef> Sections; ///< Empty sections are omitted.
  std::vector<OperationRecord> Operations;
  std::vector<std::string> Retired; ///< Section hashes that the next change deletes.
  bool operator==(const Head &) const = default;
};

/// @returns null if the head does not record the operation.
const OperationRecord *findOperation(const Head &head, const OperationID &id);

std::vector<SectionRef> sectionsOf(const Snapshot &snapshot);
/// @returns the objects in one section of a snapshot.
std::vector<ConfigObjectPtr> sectionObjects(const Snapshot &snapshot, std::uint32_t index);
/// @returns those of \p sections that \p held (may be null) doesn't contain.
std::vector<SectionRef> missingSections(const std::vector<SectionRef> &sections,
                                        const Snapshot *held);

std::string encodeSection(const std::vector<ConfigObjectPtr> &objects);
absl::StatusOr<std::vector<ConfigObjectPtr>> decodeSection(const std::string &json);
std::string encodeHead(const Head &head);
absl::StatusOr<Head> decodeHead(const std::string &json);

/// Assembles a snapshot from the matching sections of \p held (may be null) and the objects of the
/// other sections, read from the store.
/// @returns DataLoss if the content doesn't match the head's digest.
absl::StatusOr<SnapshotPtr> assembleSnapshot(const Head &head, const Snapshot *held,
                                             const std::vector<ConfigObjectPtr> &read);

} // namespace jasmineloom
