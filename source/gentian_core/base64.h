#ifndef GENTIAN_CORE_BASE64_H_
#define GENTIAN_CORE_BASE64_H_

#include <string>

namespace gentian {

/** Encodes bytes as standard base64 with padding. */
std::string EncodeBase64(const std::string& bytes);

/** Decodes base64; returns an empty string for invalid text. */
std::string DecodeBase64(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_CORE_BASE64_H_
