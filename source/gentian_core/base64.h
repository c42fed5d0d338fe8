#ifndef GENTIAN_CORE_BASE64_H_
#define GENTIAN_CORE_BASE64_H_

#include <string>

namespace gentian {

/** Standard base64 text with padding. */
std::string EncodeBase64(const std::string& bytes);

/** Decodes base64; text that is not base64 gives an empty string. */
std::string DecodeBase64(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_CORE_BASE64_H_
