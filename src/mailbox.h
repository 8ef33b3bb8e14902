/// @file mailbox.h Thread-safe queue of typed messages to one task.
#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace jasmineloom {

/// Any thread may put messages; only the owner's thread takes them.
template <typename MessageT> class Mailbox {
public:
  /// Sets the function that wakes the owner. It is called without the lock, and only for the
  /// message that makes an empty queue non-empty.
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

  /// Removes and returns all queued messages, oldest first.
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
