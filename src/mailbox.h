/// @file mailbox.h A queue of typed messages from any task to one task.
#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace jasmineloom {

/// Messages are put by any thread and taken by the thread that owns the mailbox.
template <typename MessageT> class Mailbox {
public:
  /// Sets what wakes the owner; called under no lock.
  void setWake(std::function<void()> wake) {
    const std::lock_guard lock(Mutex);
    Wake = std::move(wake);
  }

  void put(MessageT message) {
    std::function<void()> wake;
    {
      const std::lock_guard lock(Mutex);
      const bool wasEmpty = Messages.empty();
      Messages.push_back(std::move(message));
      if (!wasEmpty)
        return;
      wake = Wake;
    }
    if (wake)
      wake();
  }

  /// @returns all messages put since the last call.
  std::deque<MessageT> takeAll() {
    const std::lock_guard lock(Mutex);
    return std::exchange(Messages, {});
  }

private:
  std::mutex Mutex;
  std::deque<MessageT> Messages;
  std::function<void()> Wake;
};

} // namespace jasmineloom
