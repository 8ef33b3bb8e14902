/// @file delta_codec.cpp Compressed form of a configuration delta, as it is sent between nodes.
#include "config/delta_codec.h"

#include "config/config_func.h"

#include <absl/strings/str_cat.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <zstd.h>

namespace jasmineloom {

namespace {

/// The fastest regular level; some machines have a tenth of a core.
constexpr int CompressionLevel = 1;

absl::Status dataLoss(std::string_view reason) {
  return absl::DataLossError(absl::StrCat("configuration update: ", std::string(reason)));
}

} // namespace

EncodedDelta encodeDelta(const ConfigDelta &delta) {
  capnp::MallocMessageBuilder message;
  writeDelta(message.initRoot<wire::ConfigUpdate>(), delta);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto plain = words.asBytes();
  EncodedDelta encoded{delta.Version, delta.BaseVersion, delta.Upserts.size(),
                       std::string(ZSTD_compressBound(plain.size()), '\0')};
  const std::size_t n = ZSTD_compress(encoded.Bytes.data(), encoded.Bytes.size(), plain.begin(),
                                      plain.size(), CompressionLevel);
  // Fails only for lack of memory, as the output has the size that the library asks for.
  encoded.Bytes.resize(ZSTD_isError(n) == 0 ? n : 0);
  return encoded;
}

std::string transferText(ConfigVersion baseVersion, std::size_t objects, std::size_t bytes) {
  return absl::StrCat(baseVersion == 0 ? "whole" : absl::StrCat("delta to version ", baseVersion),
                      ", ", objects, " objects, ", bytes, " bytes");
}

absl::StatusOr<ConfigDelta> decodeDelta(std::string_view bytes) {
  if (bytes.empty())
    return dataLoss("the peer holds no configuration");
  const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > MaxDeltaBytes)
    return dataLoss("unknown or excessive size");
  auto words = kj::heapArray<capnp::word>((size + sizeof(capnp::word) - 1) / sizeof(capnp::word));
  kj::ArrayPtr<kj::byte> plain = words.asBytes();
  const std::size_t n = ZSTD_decompress(plain.begin(), plain.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(n) != 0 || n != size)
    return dataLoss(ZSTD_isError(n) != 0 ? ZSTD_getErrorName(n) : "truncated");
  ConfigDelta delta;
  const auto failed = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    delta = readDelta(reader.getRoot<wire::ConfigUpdate>());
  });
  KJ_IF_MAYBE (exception, failed) {
    return dataLoss(exception->getDescription().cStr());
  }
  return delta;
}

} // namespace jasmineloom
