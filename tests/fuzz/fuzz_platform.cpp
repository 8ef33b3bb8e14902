/// @file fuzz_platform.cpp Fuzz target: decoders of what the platform, its store and its operators
/// send. The first byte selects the decoder.
#include "platform_environment.h"

#include "config/config_func.h"

#include <cstdint>
#include <cstdlib>

using namespace jasmineloom;

namespace {

const std::vector<StoreRequest> StoreRequests = {
    StoreRead{"k"},        StoreList{"k"},     StoreWatch{"k", 1, 10}, StorePut{"k", "v"},
    StoreCompareAndSwap{}, StoreGrantLease{1}, StoreKeepAlive{1}};

void applyDocument(const DocumentFormat &format, const StoreEntry &entry) {
  const absl::StatusOr<DocumentEntry> decoded = format.Decode(entry);
  if (!decoded.ok())
    return;
  if (const auto *document = std::get_if<ConfigDocument>(&*decoded); document != nullptr) {
    std::vector<ConfigObjectPtr> objects;
    for (const ConfigObject &object : document->Objects)
      objects.push_back(std::make_shared<const ConfigObject>(object));
    diffSnapshots(nullptr, *makeSnapshot(document->Version, objects));
  }
}

/// A heartbeat that is accepted has all its fields; the tracker of upstreams relies on it.
void checkHeartbeat(const ManagementCall &call) {
  const auto *it = std::get_if<Announcement>(&call);
  const bool whole =
      it == nullptr || (!it->ID.empty() && it->ProcessStart != 0 && !it->Service.empty() &&
                        !it->Version.empty() && !it->Address.empty() && it->Slots != 0);
  if (!whole)
    std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  if (size == 0)
    return 0;
  static const Environment Env = platform::platformEnvironment();
  const std::string text(reinterpret_cast<const char *>(data) + 1, size - 1);
  const std::size_t decoder = data[0] % (StoreRequests.size() + 4);
  if (decoder < StoreRequests.size()) {
    Env.Store.Decode(StoreRequests[decoder], 200, text);
    return 0;
  }
  const DocumentFormat &format = *Env.Document;
  switch (decoder - StoreRequests.size()) {
  case 0:
    checkHeartbeat(Env.ReadManagement({"PUT", "/instances/i-1", "", text}));
    break;
  case 1:
    applyDocument(format, {format.Prefix + "config", text, 7});
    break;
  case 2:
    applyDocument(format, {format.Prefix + "rollout/s", text, 7});
    break;
  default:
    format.DecodeStatus(text);
  }
  return 0;
}
