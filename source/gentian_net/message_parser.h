#ifndef GENTIAN_NET_MESSAGE_PARSER_H_
#define GENTIAN_NET_MESSAGE_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "gentian_net/http_message.h"

namespace gentian::detail {

/** Parses an HTTP/1 message and keeps its fields as one text, which takes no
    more memory than the message itself until TakeHeaders is called. */
template <bool IsRequest>
class message_parser : public boost::beast::http::basic_parser<IsRequest> {
 public:
  /** @param max_header_bytes  of the header, of all trailers with the line that
                              ends them, and of the line of a chunk, each
      @param max_body_bytes    of the body */
  message_parser(std::size_t max_header_bytes, std::uint64_t max_body_bytes);

  /** Removes from the input what is parsed.

      @param failure  is set to `need_more` if the message goes on, to
                      `header_limit` for a long header or long trailers and to
                      `bad_chunk_extension` for a long line of a chunk. Of
                      an answer, to `bad_status` for a status outside 100 to
                      599 and to `bad_obs_fold` for a line that begins with a
                      blank or a tab */
  void Feed(std::string& input, boost::system::error_code& failure);

  const std::string& method() const { return method_; }
  const std::string& target() const { return target_; }
  /** Of an answer. */
  int status() const { return status_; }
  /** What has come of the body, or has come since it was taken. */
  std::string& body() { return body_; }

  /** The first value of a field; empty if it is absent. */
  std::string_view Find(std::string_view name) const;

  /** The fields in the order in which they came, trailers last. */
  http_headers Headers() const;

  /** Bytes of memory that the parser takes. */
  std::size_t HeldBytes() const {
    return fields_.capacity() + target_.capacity() + body_.size();
  }

  /** Bytes of memory of two copies of Headers, which the receiver and what it
      passes on hold. */
  std::size_t HeaderCost() const;

 private:
  using error_code = boost::system::error_code;
  using string_view = boost::beast::string_view;

  /** True between the chunks of a message, and before the first and the last
      one. */
  bool IsAtChunkLine() const {
    return this->is_header_done() && !this->is_done() && this->chunked() &&
           chunk_left_ == 0;
  }

  // Runs a function for each field until it returns false.
  template <typename Visit>
  void ForEachField(Visit visit) const;

  void on_request_impl(boost::beast::http::verb verb,
                       string_view method,
                       string_view target,
                       int version,
                       error_code& failure) override;
  void on_response_impl(int status,
                        string_view reason,
                        int version,
                        error_code& failure) override;
  void on_field_impl(boost::beast::http::field known,
                     string_view name,
                     string_view value,
                     error_code& failure) override;
  void on_header_impl(error_code& failure) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& failure) override;
  std::size_t on_body_impl(string_view body, error_code& failure) override;
  void on_chunk_header_impl(std::uint64_t size,
                            string_view extensions,
                            error_code& failure) override;
  std::size_t on_chunk_body_impl(std::uint64_t rest,
                                 string_view body,
                                 error_code& failure) override;
  void on_finish_impl(error_code& failure) override;

  const std::size_t max_header_bytes_;
  std::size_t header_bytes_ = 0;
  std::size_t field_count_ = 0;
  /** Bytes of the chunk that have not come. */
  std::uint64_t chunk_left_ = 0;
  /** The last step of the parser ended the line of a chunk. */
  bool has_chunk_line_ = false;
  int status_ = 0;
  std::string method_;
  std::string target_;
  /** A line `name:value` for each field; neither has a line feed. */
  std::string fields_;
  std::string body_;
};

extern template class message_parser<true>;
extern template class message_parser<false>;

}  // namespace gentian::detail

#endif  // GENTIAN_NET_MESSAGE_PARSER_H_
