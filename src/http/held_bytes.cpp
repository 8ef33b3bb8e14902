/// @file held_bytes.cpp Account of the bytes of messages that a process holds.
#include "http/held_bytes.h"

#include "log.h"

#include <algorithm>

namespace jasmineloom {

HeldBytes::Share::Share(HeldBytes *account, std::size_t allowance, CutFunction cut)
    : Account(account), Allowance(std::max<std::size_t>(allowance, 1)), OnCut(std::move(cut)) {}

HeldBytes::Share::~Share() { set(0); }

void HeldBytes::Share::set(std::size_t bytes) {
  if (Account == nullptr || Cut || bytes == Bytes)
    return;
  if (Bytes == 0)
    Account->Shares.insert(this);
  if (bytes == 0)
    Account->Shares.erase(this);
  Account->Total += bytes;
  Account->Total -= Bytes;
  Bytes = bytes;
  Account->Peak = std::max(Account->Peak, Account->Total);
  while (Account->Total > Account->Limit)
    Account->cutLargest();
}

void HeldBytes::cutLargest() {
  const auto largest = std::max_element(Shares.begin(), Shares.end(), [](Share *a, Share *b) {
    return static_cast<double>(a->Bytes) / static_cast<double>(a->Allowance) <
           static_cast<double>(b->Bytes) / static_cast<double>(b->Allowance);
  });
  Share &share = **largest;
  Shares.erase(largest);
  const std::size_t before = Total;
  Total -= share.Bytes;
  share.Cut = true;
  ++Cuts;
  const std::string connection = share.OnCut();
  LOG4CXX_WARN(loggerOf("main"), "messages hold " << before << " bytes, " << Limit
                                                  << " allowed: " << connection
                                                  << " cut, which held " << share.Bytes);
}

} // namespace jasmineloom
