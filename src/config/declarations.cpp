/// @file declarations.cpp Reads and validates configuration declared by operators in JSON files.
#include "config/declarations.h"

#include <absl/strings/str_cat.h>
#include <capnp/message.h>
#include <kj/exception.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace jasmineloom {

namespace {

std::string textOf(capnp::JsonValue::Reader value) {
  KJ_REQUIRE(value.isString(), "service of split must be a string");
  return value.getString().cStr();
}

double numberOf(capnp::JsonValue::Reader value) {
  KJ_REQUIRE(value.isNumber(), "weight of split must be a number");
  return value.getNumber();
}

void readField(kj::StringPtr name, capnp::JsonValue::Reader value, SplitPart &part) {
  KJ_REQUIRE(name == "service" || name == "weight", "split has an unknown field", name);
  if (name == "service")
    part.Service = ServiceName(textOf(value));
  else
    part.Weight = numberOf(value);
}

/// Reads and writes the two fields for a weight as one number, `weight`.
class SplitPartHandler final : public capnp::JsonCodec::Handler<wire::SplitPart> {
public:
  void encode(const capnp::JsonCodec & /*codec*/, wire::SplitPart::Reader input,
              capnp::JsonValue::Builder output) const override {
    const SplitPart part = readSplitPart(input);
    auto fields = output.initObject(2);
    fields[0].setName("service");
    fields[0].initValue().setString(part.Service.str());
    fields[1].setName("weight");
    fields[1].initValue().setNumber(part.Weight);
  }

  void decode(const capnp::JsonCodec & /*codec*/, capnp::JsonValue::Reader input,
              wire::SplitPart::Builder output) const override {
    KJ_REQUIRE(input.isObject(), "an entry of split must be an object");
    SplitPart part;
    for (const auto field : input.getObject())
      readField(field.getName(), field.getValue(), part);
    writeSplitPart(output, part);
  }
};

} // namespace

void addDeclarationHandlers(capnp::JsonCodec &codec) {
  static SplitPartHandler splitParts;
  codec.addTypeHandler(splitParts);
}

absl::StatusOr<std::vector<ConfigObject>> parseDeclarations(const std::string &name,
                                                            const std::string &json) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::Declarations>();
  std::vector<ConfigObject> objects;
  const auto failed = kj::runCatchingExceptions([&] {
    capnp::JsonCodec codec;
    codec.setRejectUnknownFields(true);
    addDeclarationHandlers(codec);
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
