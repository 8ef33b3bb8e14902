/// @file held_bytes.h Account of the bytes of messages that a process holds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace jasmineloom {

/// Sum of the bytes of messages that the connections of one task hold: received and not passed on,
/// or not sent yet. Above its limit the connections that hold most are cut until the rest is within
/// it.
class HeldBytes {
public:
  /// Starts to cut a connection, without freeing it or invoking a callback of its owner.
  /// @returns a description of the connection for the log.
  using CutFunction = std::function<std::string()>;

  /// The part of one connection.
  class Share {
  public:
    /// @param account null: the bytes are not counted.
    /// @param allowance bytes that the connection's largest message may have. Connections are
    /// compared by bytes in relation to it.
    Share(HeldBytes *account, std::size_t allowance, CutFunction cut);
    ~Share();
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Sets the bytes that the connection holds. May cut this connection or others. No effect once
    /// the connection was cut.
    void set(std::size_t bytes);
    bool isCut() const { return Cut; }

  private:
    friend class HeldBytes;
    HeldBytes *Account;
    std::size_t Allowance;
    CutFunction OnCut;
    std::size_t Bytes = 0;
    bool Cut = false;
  };

  /// @param limit bytes.
  explicit HeldBytes(std::size_t limit) : Limit(limit) {}
  HeldBytes(const HeldBytes &) = delete;
  HeldBytes &operator=(const HeldBytes &) = delete;

  /// @returns bytes held now, without those of connections that are being cut.
  std::size_t total() const { return Total; }
  /// @returns the most bytes held at any time.
  std::size_t peak() const { return Peak; }
  /// @returns number of connections that were cut.
  std::uint64_t cuts() const { return Cuts; }

private:
  void cutLargest();

  std::size_t Limit;
  std::size_t Total = 0;
  std::size_t Peak = 0;
  std::uint64_t Cuts = 0;
  std::set<Share *> Shares; ///< Those with bytes.
};

} // namespace jasmineloom
