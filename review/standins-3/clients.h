/// @file clients.h Clients of the nodes, as PROTOCOL.md describes them.
#pragma once

#include "net.h"

#include <atomic>
#include <sstream>
#include <vector>

inline std::vector<std::string> partsOf(const std::string &text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');)
    parts.push_back(part);
  return parts;
}

inline std::string headOf(const Flags &flags, const std::string &id) {
  return flags.text("method", "GET") + " " + flags.text("path") + " HTTP/1.1\r\nHost: " +
         flags.text("host") + "\r\nRequest-Id: " + id +
         "\r\nDeadline-Remaining: " + flags.text("deadline", "3000") + "\r\n";
}

inline std::string answerText(const Message &answer) {
  return std::to_string(answer.status()) + (answer.field("server-signature").empty() ? "" : " signed");
}

/// Sends at a steady rate, each request on a connection of its own, to the targets in turn.
inline int runRate(const Flags &flags) {
  const std::vector<std::string> targets = partsOf(flags.text("targets"));
  const long total = flags.number("rate") * flags.number("seconds");
  std::vector<std::thread> threads;
  for (long n = 0; n < total; ++n) {
    const std::string target = targets[static_cast<std::size_t>(n) % targets.size()];
    threads.emplace_back([&flags, target, n] {
      const std::string id = flags.text("prefix", "r") + std::to_string(n);
      record("sent " + id + " to " + target);
      Message answer;
      const int status = callOnce(target, headOf(flags, id), "", answer, flags.number("deadline", 3000));
      record("answer " + id + " from " + target + " " + (status == 0 ? "none" : answerText(answer)));
    });
    sleepMs(1000 / flags.number("rate"));
  }
  for (std::thread &it : threads)
    it.join();
  return 0;
}

/// Sends bytes at the rate of a link, bytes a second; 0: at once.
inline bool sendPaced(int fd, const std::string &bytes, long rate) {
  constexpr std::size_t Piece = 32768;
  if (rate == 0)
    return sendAll(fd, bytes);
  const std::int64_t start = wallMs();
  for (std::size_t at = 0; at < bytes.size(); at += Piece) {
    if (!sendAll(fd, bytes.substr(at, Piece)))
      return false;
    const auto due = start + static_cast<std::int64_t>(1000 * std::min(bytes.size(), at + Piece)) / rate;
    sleepMs(std::max<std::int64_t>(0, due - wallMs()));
  }
  return true;
}

/// Clients that each keep one connection and send one request after the other on it.
inline int runKept(const Flags &flags) {
  const std::string body(static_cast<std::size_t>(flags.number("bytes")), 'x');
  const std::int64_t end = wallMs() + 1000 * flags.number("seconds");
  std::vector<std::thread> threads;
  for (long client = 0; client < flags.number("clients"); ++client) {
    threads.emplace_back([&flags, &body, end, client] {
      sleepMs(client * flags.number("stagger"));
      Connection connection(-1);
      long onConnection = 0;
      for (long n = 0; wallMs() < end; ++n) {
        const std::string id = flags.text("prefix", "k") + std::to_string(client) + "-" + std::to_string(n);
        if (connection.Fd < 0) {
          connection.Received.clear();
          connection.Fd = connectTo(flags.text("target"));
          onConnection = 0;
        }
        if (connection.Fd < 0) {
          sleepMs(100);
          continue;
        }
        ++onConnection;
        record("sent " + id + " bytes " + std::to_string(body.size()) + " request " + std::to_string(onConnection) + " of its connection");
        Message answer;
        const std::string head = headOf(flags, id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        const bool sent = sendPaced(connection.Fd, head + body, flags.number("pace"));
        const std::int64_t until = wallMs() + flags.number("deadline", 3000) + 2000;
        const bool answered = connection.read(answer, until);
        record("answer " + id + " " + (answered ? answerText(answer) : sent ? "closed after all was sent" : "closed while it was sent"));
        if (!answered || answer.field("connection") == "close")
          connection.end();
        if (answered && (answer.status() == 503 || answer.status() == 429))
          sleepMs(200);
      }
    });
  }
  for (std::thread &it : threads)
    it.join();
  return 0;
}

/// A client behind a slow link: sends one request and takes the answer at --pace bytes a second.
inline int runSlowReader(const Flags &flags) {
  Connection connection(connectTo(flags.text("target")));
  const int window = 65536;
  setsockopt(connection.Fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  const std::string id = flags.text("prefix", "s");
  record("sent " + id);
  if (!sendAll(connection.Fd, headOf(flags, id) + "\r\n"))
    return 2;
  const std::int64_t start = wallMs();
  const std::int64_t until = start + flags.number("deadline", 3000);
  std::string received;
  std::size_t expected = 0;
  bool ended = false;
  std::int64_t firstAt = 0;
  while (!ended && wallMs() < until && (expected == 0 || received.size() < expected)) {
    pollfd poller{connection.Fd, POLLIN, 0};
    if (poll(&poller, 1, static_cast<int>(until - wallMs())) <= 0)
      continue;
    char bytes[32768];
    const ssize_t n = recv(connection.Fd, bytes, sizeof(bytes), 0);
    ended = n <= 0;
    if (n > 0)
      received.append(bytes, static_cast<std::size_t>(n));
    firstAt = firstAt == 0 ? wallMs() : firstAt;
    const std::size_t head = received.find("\r\n\r\n");
    const std::size_t length = received.find("Content-Length: ");
    if (expected == 0 && head != std::string::npos && length < head)
      expected = head + 4 + static_cast<std::size_t>(std::atoll(received.c_str() + length + 16));
    const auto due = firstAt + static_cast<std::int64_t>(1000 * received.size()) / flags.number("pace");
    sleepMs(std::max<std::int64_t>(0, due - wallMs()));
  }
  const bool whole = expected != 0 && received.size() >= expected;
  record("answer " + id + " " + received.substr(9, 3) + " " + std::to_string(received.size()) + " of " +
         std::to_string(expected) + " bytes after " + std::to_string(wallMs() - start) + " ms: " +
         (whole ? "whole" : ended ? "the connection ended" : "the deadline was reached"));
  return 0;
}

/// A client that sends --count requests at once on one connection. It takes all answers, or closes the
/// connection after --leave ms.
inline int runPipeline(const Flags &flags) {
  Connection connection(connectTo(flags.text("target")));
  const std::string cookie = "Cookie: c=" + std::string(static_cast<std::size_t>(flags.number("header-bytes")), 'c') + "\r\n";
  std::string bytes;
  for (long n = 0; n < flags.number("count"); ++n) {
    const std::string id = flags.text("prefix", "p") + "-" + std::to_string(n);
    bytes += headOf(flags, id) + cookie + "\r\n";
    record("sent " + id);
  }
  const std::int64_t until = wallMs() + flags.number("leave", flags.number("deadline", 3000));
  std::thread sender([&] { sendAll(connection.Fd, bytes); });
  Message answer;
  long answers = 0;
  while (answers < flags.number("count") && connection.read(answer, until)) {
    ++answers;
    record("answer " + answer.field("request-id") + " " + answerText(answer));
  }
  shutdown(connection.Fd, SHUT_RDWR);
  sender.join();
  connection.end();
  record("left " + flags.text("prefix", "p") + " after " + std::to_string(answers) + " answers");
  return 0;
}
