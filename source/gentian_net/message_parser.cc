#include "gentian_net/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace gentian::detail {

namespace http = boost::beast::http;

namespace {

// Of a field in two copies of a header, beside its text.
constexpr std::size_t kFieldBytes = 2 * sizeof(http_headers::field);
// The shortest end of a chunked message.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// The statuses of RFC 9110, section 15.
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

// Beast takes the line of a chunk's size with its extension, and the last such
// line with all trailers, as a whole. Both are measured as they were sent, and
// as far as they have come, so that it doesn't matter in which parts they come.
boost::system::error_code CheckChunkLine(std::string_view text,
                                         std::size_t max_bytes) {
  // A chunk that is not the first one begins with the end of the line before.
  constexpr std::string_view kLineEnd = "\r\n";
  if (text.substr(0, kLineEnd.size()) == kLineEnd) {
    text.remove_prefix(kLineEnd.size());
  }
  const std::size_t line = text.find('\n');
  const std::size_t line_size =
      line == std::string_view::npos ? text.size() : line + 1;
  if (line_size > max_bytes) {
    return http::error::bad_chunk_extension;
  }
  if (text.size() - line_size > max_bytes) {
    return http::error::header_limit;
  }
  return {};
}

// True if a field goes on in another line. Beast takes all lines of a field in
// one step.
bool HasFoldedLine(std::string_view text) {
  return text.find("\n ") != std::string_view::npos ||
         text.find("\n\t") != std::string_view::npos;
}

}  // namespace

template <bool IsRequest>
message_parser<IsRequest>::message_parser(std::size_t max_header_bytes,
                                          std::uint64_t max_body_bytes)
    : max_header_bytes_(max_header_bytes) {
  this->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
      max_header_bytes, std::numeric_limits<std::uint32_t>::max())));
  this->body_limit(max_body_bytes);
  // A step ends with each part of the message, so that it can be measured: the
  // limit of Beast applies to what one step gets of a header only.
  this->eager(false);
}

template <bool IsRequest>
void message_parser<IsRequest>::Feed(std::string& input, error_code& failure) {
  failure = {};
  std::size_t taken = 0;
  while (taken < input.size() && !this->is_done()) {
    const bool is_header = !this->is_header_done();
    const std::size_t rest = input.size() - taken;
    // Beast asserts that it gets a last chunk as a whole once it has seen the
    // line of it. Every message has this many bytes left here.
    if (IsAtChunkLine() && rest < kLastChunk.size()) {
      failure = http::error::need_more;
      break;
    }
    has_chunk_line_ = false;
    const std::size_t used =
        this->put(boost::asio::buffer(input.data() + taken, rest), failure);
    const std::string_view parsed(input.data() + taken, used);
    taken += used;
    if (is_header) {
      header_bytes_ += used;
      const std::size_t all =
          header_bytes_ + (this->is_header_done() ? 0 : rest - used);
      if ((!failure || failure == http::error::need_more) &&
          all > max_header_bytes_) {
        failure = http::error::header_limit;
      }
    } else if (has_chunk_line_ && !failure) {
      failure = CheckChunkLine(parsed, max_header_bytes_);
    }
    // A field that follows a blank would be lost in the field before it. RFC
    // 9112, section 5.2, lets a gateway refuse such an answer.
    if (!IsRequest && (!failure || failure == http::error::need_more) &&
        (is_header || has_chunk_line_) && HasFoldedLine(parsed)) {
      failure = http::error::bad_obs_fold;
    }
    if (failure || used == 0) {
      break;
    }
  }
  input.erase(0, taken);
  if (input.empty()) {
    input = std::string();
  }
  if (failure == http::error::need_more && this->is_header_done() &&
      this->chunked()) {
    const error_code too_long = CheckChunkLine(input, max_header_bytes_);
    failure = too_long ? too_long : failure;
  }
}

template <bool IsRequest>
template <typename Visit>
void message_parser<IsRequest>::ForEachField(Visit visit) const {
  std::string_view rest = fields_;
  while (!rest.empty()) {
    const std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(line.size() + 1);
    const std::size_t colon = line.find(':');
    if (!visit(line.substr(0, colon), line.substr(colon + 1))) {
      return;
    }
  }
}

template <bool IsRequest>
std::string_view message_parser<IsRequest>::Find(std::string_view name) const {
  std::string_view found;
  ForEachField([&](std::string_view field, std::string_view value) {
    const bool is_found =
        boost::beast::iequals(string_view(field.data(), field.size()),
                              string_view(name.data(), name.size()));
    if (is_found) {
      found = value;
    }
    return !is_found;
  });
  return found;
}

template <bool IsRequest>
http_headers message_parser<IsRequest>::Headers() const {
  http_headers headers;
  headers.Reserve(field_count_);
  ForEachField([&headers](std::string_view name, std::string_view value) {
    headers.Add(std::string(name), std::string(value));
    return true;
  });
  return headers;
}

template <bool IsRequest>
std::size_t message_parser<IsRequest>::HeaderCost() const {
  return field_count_ * kFieldBytes + 2 * (fields_.size() + target_.size());
}

template <bool IsRequest>
void message_parser<IsRequest>::on_request_impl(http::verb /*verb*/,
                                                string_view method,
                                                string_view target,
                                                int /*version*/,
                                                error_code& /*failure*/) {
  method_.assign(method.data(), method.size());
  target_.assign(target.data(), target.size());
}

template <bool IsRequest>
void message_parser<IsRequest>::on_response_impl(int status,
                                                 string_view /*reason*/,
                                                 int /*version*/,
                                                 error_code& failure) {
  status_ = status;
  if (status < kFirstStatus || status > kLastStatus) {
    failure = http::error::bad_status;
  }
}

template <bool IsRequest>
void message_parser<IsRequest>::on_field_impl(http::field /*known*/,
                                              string_view name,
                                              string_view value,
                                              error_code& /*failure*/) {
  fields_.append(name.data(), name.size());
  fields_ += ':';
  fields_.append(value.data(), value.size());
  fields_ += '\n';
  ++field_count_;
}

template <bool IsRequest>
void message_parser<IsRequest>::on_header_impl(error_code& /*failure*/) {
  fields_.shrink_to_fit();
}

template <bool IsRequest>
void message_parser<IsRequest>::on_body_init_impl(
    const boost::optional<std::uint64_t>& length,
    error_code& /*failure*/) {
  if (IsRequest && length) {
    // Pages that are never written take no memory.
    body_.reserve(*length);
  }
}

template <bool IsRequest>
std::size_t message_parser<IsRequest>::on_body_impl(string_view body,
                                                    error_code& /*failure*/) {
  body_.append(body.data(), body.size());
  return body.size();
}

template <bool IsRequest>
void message_parser<IsRequest>::on_chunk_header_impl(std::uint64_t size,
                                                     string_view /*extensions*/,
                                                     error_code& /*failure*/) {
  has_chunk_line_ = true;
  chunk_left_ = size;
}

template <bool IsRequest>
std::size_t message_parser<IsRequest>::on_chunk_body_impl(
    std::uint64_t /*rest*/,
    string_view body,
    error_code& failure) {
  chunk_left_ -= body.size();
  return on_body_impl(body, failure);
}

template <bool IsRequest>
void message_parser<IsRequest>::on_finish_impl(error_code& /*failure*/) {}

template class message_parser<true>;
template class message_parser<false>;

}  // namespace gentian::detail
