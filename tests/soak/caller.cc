#include "caller.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "sockets.h"

namespace gentian::soak {

namespace {

constexpr milliseconds kConnectLimit{1'000};
constexpr milliseconds kDeadline{3'000};
// Callers wait a little longer than they say.
constexpr milliseconds kPatience{3'500};
constexpr milliseconds kMaxPause{120};
constexpr int kTries = 4;
constexpr int kMaxEvents = 16;
// Of ten requests, those that may run once only.
constexpr int kOnceShare = 3;
// One in so many of these has a body that comes slowly, or long work.
constexpr std::uint64_t kSlowShare = 8;
constexpr std::uint64_t kLongShare = 8;
constexpr milliseconds kMaxDelay{2'000};
// Within the header.
constexpr std::size_t kFirstPart = 20;
constexpr int kOk = 200;

// A request for a stream, from its beginning or after event `last`.
std::string StreamRequest(const std::string& id,
                          const stream_order& order,
                          std::size_t last,
                          const std::string& begun_by) {
  const std::string body = EncodeOrder(order);
  std::string request =
      "POST /turn/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
      "\r\nX-Api-Key: k\r\nDeadline-Ms: " + std::to_string(kDeadline.count()) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (last > 0) {
    request += "Last-Event-Id: " + std::to_string(last) +
               "\r\nResumes: " + begun_by + "\r\n";
  }
  request += "\r\n";
  request += body;
  return request;
}

// What came of a stream without the part of an event at its end.
std::string WholeEvents(const std::string& text) {
  const std::size_t end = text.rfind("\n\n");
  return end == std::string::npos ? std::string() : text.substr(0, end + 2);
}

milliseconds TimeLeftOf(const std::string& request) {
  return milliseconds(std::stoi(FieldOf(request, "Deadline-Ms")));
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

caller::caller(std::string name,
               std::uint64_t seed,
               std::function<std::string(std::uint64_t random)> choose,
               judge& seen)
    : name_(std::move(name)),
      random_(seed),
      choose_(std::move(choose)),
      seen_(seen) {}

caller::~caller() {
  Disconnect();
}

void caller::Run(const std::function<bool()>& stop) {
  while (!stop()) {
    if (random_.Below(10) < kOnceShare) {
      const bool is_slow = random_.Below(kSlowShare) == 0;
      RunOnce(is_slow
                  ? milliseconds(static_cast<milliseconds::rep>(random_.Below(
                        static_cast<std::uint64_t>(kMaxDelay.count()))))
                  : milliseconds(0),
              random_.Below(kLongShare) == 0);
    } else {
      RunStream();
    }
    std::this_thread::sleep_for(milliseconds(static_cast<milliseconds::rep>(
        random_.Below(static_cast<std::uint64_t>(kMaxPause.count())))));
  }
}

std::string caller::NextRequestId() {
  return name_ + "-" + std::to_string(++last_request_);
}

void caller::RunStream() {
  stream_order order{name_ + "." + std::to_string(last_request_),
                     1 + static_cast<int>(random_.Below(kMaxEvents))};
  std::string text;
  std::string begun_by;
  std::string story;
  for (int i = 0; i < kTries; ++i) {
    const std::string id = NextRequestId();
    const std::size_t last = std::count(text.begin(), text.end(), '\n') / 3;
    const answer got = Exchange(StreamRequest(id, order, last, begun_by));
    CheckAnswer(got, id);
    story += id + " at " + gateway_ + " got " + std::to_string(got.status) +
             (got.is_whole ? " whole; " : " broken off; ");
    if (got.status == kOk) {
      if (text.empty() && !got.body.empty()) {
        begun_by = id;
      }
      text += got.is_whole ? got.body : WholeEvents(got.body);
      if (got.is_whole) {
        seen_.OnStream(order, text, true, story);
        seen_.Count(last > 0 ? "stream resumed and whole" : "stream whole");
        return;
      }
      seen_.Count("stream broken off");
      continue;
    }
    seen_.Count("stream answered " + std::to_string(got.status));
    if (got.status != 0 && !text.empty()) {
      // It can't go on; the caller begins anew.
      seen_.OnStream(order, text, false, story);
      text.clear();
    }
  }
  seen_.OnStream(order, text, false, story);
  seen_.Count("stream given up");
}

void caller::RunOnce(milliseconds delay, bool is_long) {
  const std::string id = NextRequestId();
  const answer got =
      Exchange(std::string("POST /once/") + (is_long ? "long" : "x") +
                   " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                   "\r\nX-Api-Key: k\r\nDeadline-Ms: 1500\r\nContent-Length: "
                   "2\r\n\r\nhi",
               delay);
  CheckAnswer(got, id);
  seen_.Count("once answered " + std::to_string(got.status) +
              (got.status == kOk && !got.is_whole ? ", broken off" : ""));
  if (got.status == kOk && got.is_whole && got.body != "done " + id) {
    seen_.Report("MIXED", id + " got '" + got.body + "'");
  }
  if (PromisesNotRun(got.status)) {
    seen_.OnRefused(id, got.status);
  }
}

void caller::CheckAnswer(const answer& got, const std::string& request) {
  if (got.status != 0 && FieldOf(got.head, "Request-Id") != request) {
    seen_.Report("MIXED", request + " got the answer '" + got.head + "'");
  }
  if (got.status == kOk &&
      FieldOf(got.head, "Response-Seal") != "seal-" + request &&
      FieldOf(got.head, "Response-Seal").empty()) {
    seen_.Report("MIXED", request + " got 200 without a signature");
  }
}

bool caller::EnsureConnected() {
  if (socket_ >= 0) {
    pollfd idle{socket_, POLLIN, 0};
    if (input_.empty() && ::poll(&idle, 1, 0) == 0) {
      return true;
    }
    std::string bytes;
    if (!input_.empty() ||
        Receive(socket_, bytes, milliseconds(0)) == read_end::data) {
      seen_.Report("MIXED",
                   "bytes without a request: '" + input_ + bytes + "'");
    }
    Disconnect();
  }
  for (int i = 0; i < kTries && socket_ < 0; ++i) {
    gateway_ = choose_(random_.Next());
    socket_ = Connect(gateway_, kConnectLimit);
  }
  return socket_ >= 0;
}

void caller::Disconnect() {
  if (socket_ >= 0) {
    ::close(socket_);
  }
  socket_ = -1;
  input_.clear();
}

caller::answer caller::Exchange(const std::string& request,
                                milliseconds delay) {
  answer out;
  if (!EnsureConnected()) {
    return out;
  }
  bool is_sent = false;
  if (delay.count() > 0) {
    const std::size_t first =
        random_.Below(2) == 0 ? request.size() - 1 : kFirstPart;
    is_sent = SendAll(socket_, request.substr(0, first));
    std::this_thread::sleep_for(delay);
    is_sent = is_sent && SendAll(socket_, request.substr(first));
  } else {
    is_sent = SendAll(socket_, request);
  }
  out.sent_at = BootTimeNow();
  deadline_ = out.sent_at + kPatience;
  if (is_sent) {
    ReadAnswer(out);
    if (out.has_ended) {
      seen_.OnUnanswered({FieldOf(request, "Request-Id"), gateway_, out.sent_at,
                          BootTimeNow(), TimeLeftOf(request)});
    }
  }
  if (!out.is_whole || FieldOf(out.head, "Connection") == "close") {
    Disconnect();
  }
  return out;
}

bool caller::Fill(answer& out) {
  const milliseconds left = ToMilliseconds(deadline_ - BootTimeNow());
  if (left.count() <= 0) {
    return false;
  }
  const read_end end = Receive(socket_, input_, left);
  out.has_ended = end == read_end::closed || end == read_end::reset;
  return end == read_end::data;
}

void caller::ReadAnswer(answer& out) {
  std::size_t end = std::string::npos;
  while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(out)) {
      return;
    }
  }
  out.head = input_.substr(0, end + 2);
  input_.erase(0, end + 4);
  out.status = StatusOf(out.head);
  if (out.status == 0) {
    seen_.Report("MIXED", "no answer: '" + out.head + "'");
    return;
  }
  if (FieldOf(out.head, "Transfer-Encoding") == "chunked") {
    out.is_whole = ReadChunks(out);
    return;
  }
  const std::string length = FieldOf(out.head, "Content-Length");
  if (length.empty()) {
    seen_.Report("MIXED", "an answer without a length: '" + out.head + "'");
    return;
  }
  const std::size_t size = std::stoul(length);
  while (input_.size() < size) {
    if (!Fill(out)) {
      return;
    }
  }
  out.body = input_.substr(0, size);
  input_.erase(0, size);
  out.is_whole = true;
}

bool caller::ReadChunks(answer& out) {
  constexpr int kHex = 16;
  while (true) {
    std::size_t line = std::string::npos;
    while ((line = input_.find("\r\n")) == std::string::npos) {
      if (!Fill(out)) {
        return false;
      }
    }
    const std::size_t size = std::stoul(input_, nullptr, kHex);
    const std::size_t whole = line + 2 + size + 2;
    while (input_.size() < whole) {
      if (!Fill(out)) {
        // A part of a chunk has come to the caller, too.
        out.body += input_.substr(std::min(line + 2, input_.size()), size);
        return false;
      }
    }
    out.body += input_.substr(line + 2, size);
    input_.erase(0, whole);
    if (size == 0) {
      return true;
    }
  }
}

}  // namespace gentian::soak
