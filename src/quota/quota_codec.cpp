/// @file quota_codec.cpp Encodes calls between nodes about quotas.
#include "quota/quota_type.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

namespace jasmineloom {

namespace {

/// Names are last on their line, as they may contain spaces.
constexpr std::size_t AskFields = 6;
constexpr std::size_t AnswerFields = 5;
constexpr std::size_t ItemFields = 3;

using Lines = std::vector<absl::string_view>;

Lines linesOf(std::string_view text) {
  return absl::StrSplit(absl::string_view(text.data(), text.size()), '\n', absl::SkipEmpty());
}

/// @returns the fields of a line; empty if there are fewer than \p count.
std::vector<std::string> fieldsOf(absl::string_view line, std::size_t count) {
  std::vector<std::string> fields = absl::StrSplit(line, absl::MaxSplits(' ', count - 1));
  if (fields.size() != count)
    fields.clear();
  return fields;
}

struct Item {
  WorkspaceName Workspace;
  std::uint32_t First = 0;
  std::uint32_t Second = 0;
};

std::optional<Item> itemOf(absl::string_view line) {
  const std::vector<std::string> fields = fieldsOf(line, ItemFields);
  Item item;
  if (fields.empty() || !absl::SimpleAtoi(fields[0], &item.First) ||
      !absl::SimpleAtoi(fields[1], &item.Second))
    return std::nullopt;
  item.Workspace = WorkspaceName(fields[2]);
  return item;
}

} // namespace

std::uint32_t quotaShardOf(const WorkspaceName &workspace) {
  return static_cast<std::uint32_t>(XXH3_64bits(workspace.str().data(), workspace.str().size()) %
                                    QuotaShards);
}

std::string encodeAsk(const QuotaAsk &ask) {
  std::string text = absl::StrCat(ask.Shard, " ", ask.Hosts, " ", ask.Stamp.Incarnation, " ",
                                  ask.Stamp.At, " ", ask.Lends ? 1 : 0, " ", ask.Host.str(), "\n");
  for (const QuotaNeed &need : ask.Needs)
    absl::StrAppend(&text, need.Waiting, " ", need.Ahead, " ", need.Workspace.str(), "\n");
  return text;
}

std::optional<QuotaAsk> decodeAsk(std::string_view text) {
  const Lines lines = linesOf(text);
  if (lines.empty())
    return std::nullopt;
  const std::vector<std::string> fields = fieldsOf(lines.front(), AskFields);
  QuotaAsk ask;
  std::uint32_t lends = 0;
  if (fields.empty() || !absl::SimpleAtoi(fields[0], &ask.Shard) ||
      !absl::SimpleAtoi(fields[1], &ask.Hosts) ||
      !absl::SimpleAtoi(fields[2], &ask.Stamp.Incarnation) ||
      !absl::SimpleAtoi(fields[3], &ask.Stamp.At) || !absl::SimpleAtoi(fields[4], &lends))
    return std::nullopt;
  ask.Lends = lends != 0;
  ask.Host = HostID(fields[5]);
  for (std::size_t n = 1; n < lines.size(); ++n) {
    std::optional<Item> item = itemOf(lines[n]);
    if (!item.has_value())
      return std::nullopt;
    ask.Needs.push_back({std::move(item->Workspace), item->First, item->Second});
  }
  return ask;
}

std::string encodeAnswer(const QuotaAnswer &answer) {
  std::string text = absl::StrCat(answer.Hosts, " ", answer.Stamp.Incarnation, " ", answer.Stamp.At,
                                  " ", answer.Holds ? 1 : 0, " ", answer.LentPerMille, "\n");
  for (const QuotaGrant &grant : answer.Grants)
    absl::StrAppend(&text, grant.Credits, " ", grant.Wait, " ", grant.Workspace.str(), "\n");
  return text;
}

std::optional<QuotaAnswer> decodeAnswer(std::string_view text) {
  const Lines lines = linesOf(text);
  if (lines.empty())
    return std::nullopt;
  const std::vector<std::string> fields = fieldsOf(lines.front(), AnswerFields);
  QuotaAnswer answer;
  std::uint32_t holds = 0;
  if (fields.empty() || !absl::SimpleAtoi(fields[0], &answer.Hosts) ||
      !absl::SimpleAtoi(fields[1], &answer.Stamp.Incarnation) ||
      !absl::SimpleAtoi(fields[2], &answer.Stamp.At) || !absl::SimpleAtoi(fields[3], &holds) ||
      !absl::SimpleAtoi(fields[4], &answer.LentPerMille) || answer.Stamp.Incarnation == 0)
    return std::nullopt;
  answer.Holds = holds != 0;
  for (std::size_t n = 1; n < lines.size(); ++n) {
    std::optional<Item> item = itemOf(lines[n]);
    if (!item.has_value())
      return std::nullopt;
    answer.Grants.push_back({std::move(item->Workspace), item->First, item->Second});
  }
  return answer;
}

} // namespace jasmineloom
