/// @file head_func.cpp Stored form of the accepted configuration: a head and its sections.
#include "config/head_func.h"

#include <absl/strings/str_cat.h>
#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <kj/exception.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace jasmineloom {

namespace {

std::uint32_t sectionIndex(const ObjectKey &key) {
  return static_cast<std::uint32_t>(XXH3_64bits(key.str().data(), key.str().size()) % SectionCount);
}

std::string hashName(std::uint64_t hash) { return absl::StrCat(absl::Hex(hash, absl::kZeroPad16)); }

std::string text(capnp::Text::Reader from) { return {from.cStr(), from.size()}; }

/// @returns the hash of each section; 0 for an empty one.
std::array<std::uint64_t, SectionCount> sectionHashes(const Snapshot &snapshot) {
  std::array<std::uint64_t, SectionCount> hashes{};
  for (const auto &[key, entry] : snapshot.Objects)
    hashes[sectionIndex(key)] += entry.Hash;
  return hashes;
}

template <typename T, typename ReadT> absl::Status decodeJson(const std::string &json, ReadT read) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<T>();
  absl::Status status = absl::OkStatus();
  const auto failed = kj::runCatchingExceptions([&] {
    capnp::JsonCodec codec;
    codec.decode(kj::arrayPtr(json.data(), json.size()), root);
    read(root.asReader());
  });
  KJ_IF_MAYBE (exception, failed)
    status = absl::DataLossError(exception->getDescription().cStr());
  return status;
}

template <typename T> std::string encodeJson(typename T::Reader reader) {
  capnp::JsonCodec codec;
  codec.setHasMode(capnp::HasMode::NON_DEFAULT);
  const kj::String json = codec.encode(reader);
  return {json.cStr(), json.size()};
}

} // namespace

const OperationRecord *findOperation(const Head &head, const OperationID &id) {
  for (const OperationRecord &operation : head.Operations) {
    if (operation.ID == id)
      return &operation;
  }
  return nullptr;
}

std::vector<SectionRef> sectionsOf(const Snapshot &snapshot) {
  std::vector<SectionRef> sections;
  const auto hashes = sectionHashes(snapshot);
  for (std::uint32_t it = 0; it < SectionCount; ++it) {
    if (hashes[it] != 0)
      sections.push_back({it, hashName(hashes[it])});
  }
  return sections;
}

std::vector<ConfigObjectPtr> sectionObjects(const Snapshot &snapshot, std::uint32_t index) {
  std::vector<ConfigObjectPtr> objects;
  for (const auto &[key, entry] : snapshot.Objects) {
    if (sectionIndex(key) == index)
      objects.push_back(entry.Object);
  }
  return objects;
}

std::vector<SectionRef> missingSections(const std::vector<SectionRef> &sections,
                                        const Snapshot *held) {
  if (held == nullptr)
    return sections;
  const std::vector<SectionRef> heldSections = sectionsOf(*held);
  std::vector<SectionRef> missing;
  for (const SectionRef &section : sections) {
    if (std::find(heldSections.begin(), heldSections.end(), section) == heldSections.end())
      missing.push_back(section);
  }
  return missing;
}

std::string encodeSection(const std::vector<ConfigObjectPtr> &objects) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::Section>();
  auto list = root.initObjects(static_cast<unsigned>(objects.size()));
  unsigned n = 0;
  for (const ConfigObjectPtr &object : objects)
    writeObject(list[n++], *object);
  return encodeJson<wire::Section>(root.asReader());
}

absl::StatusOr<std::vector<ConfigObjectPtr>> decodeSection(const std::string &json) {
  std::vector<ConfigObjectPtr> objects;
  absl::Status status = decodeJson<wire::Section>(json, [&objects](auto reader) {
    for (auto object : reader.getObjects())
      objects.push_back(std::make_shared<const ConfigObject>(readObject(object)));
  });
  if (!status.ok())
    return status;
  return objects;
}

std::string encodeHead(const Head &head) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::Head>();
  root.setVersion(head.Version);
  root.setDigest(head.Digest);
  auto sections = root.initSections(static_cast<unsigned>(head.Sections.size()));
  unsigned n = 0;
  for (const SectionRef &section : head.Sections) {
    sections[n].setIndex(section.Index);
    sections[n++].setHash(section.Hash);
  }
  auto operations = root.initOperations(static_cast<unsigned>(head.Operations.size()));
  n = 0;
  for (const OperationRecord &operation : head.Operations) {
    operations[n].setId(operation.ID.str());
    operations[n].setVersion(operation.Version);
    operations[n].setAuthor(operation.Author);
    operations[n].setSummary(operation.Summary);
    operations[n++].setTimeMs(operation.Time);
  }
  auto retired = root.initRetired(static_cast<unsigned>(head.Retired.size()));
  n = 0;
  for (const std::string &hash : head.Retired)
    retired.set(n++, hash);
  return encodeJson<wire::Head>(root.asReader());
}

absl::StatusOr<Head> decodeHead(const std::string &json) {
  Head head;
  absl::Status status = decodeJson<wire::Head>(json, [&head](auto reader) {
    head.Version = reader.getVersion();
    head.Digest = reader.getDigest();
    for (auto section : reader.getSections())
      head.Sections.push_back({section.getIndex(), text(section.getHash())});
    for (auto it : reader.getOperations())
      head.Operations.push_back({OperationID(text(it.getId())), it.getVersion(),
                                 text(it.getAuthor()), text(it.getSummary()), it.getTimeMs()});
    for (auto hash : reader.getRetired())
      head.Retired.push_back(text(hash));
  });
  if (!status.ok())
    return status;
  return head;
}

absl::StatusOr<SnapshotPtr> assembleSnapshot(const Head &head, const Snapshot *held,
                                             const std::vector<ConfigObjectPtr> &read) {
  std::vector<ConfigObjectPtr> objects;
  if (held != nullptr) {
    const std::vector<SectionRef> heldSections = sectionsOf(*held);
    for (const SectionRef &section : head.Sections) {
      if (std::find(heldSections.begin(), heldSections.end(), section) == heldSections.end())
        continue;
      for (ConfigObjectPtr &object : sectionObjects(*held, section.Index))
        objects.push_back(std::move(object));
    }
  }
  objects.insert(objects.end(), read.begin(), read.end());
  SnapshotPtr snapshot = makeSnapshot(head.Version, objects);
  if (snapshot->Digest != head.Digest)
    return absl::DataLossError(
        absl::StrCat("sections of version ", head.Version, " do not match the head's digest"));
  return snapshot;
}

} // namespace jasmineloom
