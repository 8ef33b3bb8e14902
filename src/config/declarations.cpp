/// @file declarations.cpp Reads and validates configuration declared by operators in JSON files.
#include "config/declarations.h"

#include <absl/strings/str_cat.h>
#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <kj/exception.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace jasmineloom {

absl::StatusOr<std::vector<ConfigObject>> parseDeclarations(const std::string &name,
                                                            const std::string &json) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::Declarations>();
  std::vector<ConfigObject> objects;
  const auto failed = kj::runCatchingExceptions([&] {
    capnp::JsonCodec codec;
    codec.setRejectUnknownFields(true);
    codec.decode(kj::arrayPtr(json.data(), json.size()), root);
    objects = readDeclarations(root.asReader());
  });
  KJ_IF_MAYBE (exception, failed)
    return absl::InvalidArgumentError(absl::StrCat(name, ": ", exception->getDescription().cStr()));
  return objects;
}

absl::StatusOr<std::vector<ConfigObject>> readDeclarationDirectory(const std::string &directory) {
  std::error_code ec;
  std::vector<std::filesystem::path> files;
  for (const auto &entry : std::filesystem::directory_iterator(directory, ec)) {
    if (entry.path().extension() == ".json")
      files.push_back(entry.path());
  }
  if (ec)
    return absl::InvalidArgumentError(absl::StrCat(directory, ": ", ec.message()));
  if (files.empty())
    return absl::InvalidArgumentError(absl::StrCat(directory, ": contains no .json files"));
  std::sort(files.begin(), files.end());
  std::vector<ConfigObject> all;
  for (const std::filesystem::path &file : files) {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    absl::StatusOr<std::vector<ConfigObject>> objects =
        parseDeclarations(file.string(), text.str());
    if (!objects.ok())
      return objects.status();
    all.insert(all.end(), objects->begin(), objects->end());
  }
  return all;
}

absl::Status validateDeclarations(const std::vector<ConfigObject> &objects) {
  std::set<ObjectKey> keys;
  std::vector<ConfigObjectPtr> objectPtrs;
  for (const ConfigObject &object : objects) {
    if (!keys.insert(keyOf(object)).second)
      return absl::InvalidArgumentError(absl::StrCat(keyOf(object).str(), " is declared twice"));
    objectPtrs.push_back(std::make_shared<const ConfigObject>(object));
  }
  return validateSnapshot(*makeSnapshot(1, objectPtrs));
}

void writeDeclaredObjects(wire::Declarations::Builder to,
                          const std::vector<ConfigObject> &objects) {
  std::vector<ConfigObjectPtr> objectPtrs;
  for (const ConfigObject &object : objects)
    objectPtrs.push_back(std::make_shared<const ConfigObject>(object));
  writeDeclarations(to, *makeSnapshot(0, objectPtrs));
}

} // namespace jasmineloom
