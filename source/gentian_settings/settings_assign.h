#ifndef GENTIAN_SETTINGS_SETTINGS_ASSIGN_H_
#define GENTIAN_SETTINGS_SETTINGS_ASSIGN_H_

#include <functional>
#include <set>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_settings/settings_value.h"

namespace gentian::detail {

inline void Assign(std::string& out, const parsed_value& value) {
  out = std::get<std::string>(value);
}

template <typename Tag>
void Assign(strong_id<Tag>& out, const parsed_value& value) {
  out = strong_id<Tag>(std::get<std::string>(value));
}

template <typename Tag>
void Assign(std::set<strong_id<Tag>>& out, const parsed_value& value) {
  for (const std::string& name : std::get<std::set<std::string>>(value)) {
    out.insert(strong_id<Tag>(name));
  }
}

inline void Assign(std::set<std::string>& out, const parsed_value& value) {
  if (const auto* const one = std::get_if<std::string>(&value)) {
    out.insert(*one);
    return;
  }
  out = std::get<std::set<std::string>>(value);
}

inline void Assign(bool& out, const parsed_value& value) {
  out = std::get<bool>(value);
}

inline void Assign(double& out, const parsed_value& value) {
  out = std::get<double>(value);
}

inline void Assign(milliseconds& out, const parsed_value& value) {
  out = std::get<milliseconds>(value);
}

// Members of a budget hold times as plain milliseconds.
inline void Assign(std::uint64_t& out, const parsed_value& value) {
  if (const auto* const time = std::get_if<milliseconds>(&value)) {
    out = static_cast<std::uint64_t>(time->count());
    return;
  }
  out = std::get<std::uint64_t>(value);
}

inline void Assign(std::uint32_t& out, const parsed_value& value) {
  out = static_cast<std::uint32_t>(std::get<std::uint64_t>(value));
}

inline void Assign(int& out, const parsed_value& value) {
  out = static_cast<int>(std::get<std::uint64_t>(value));
}

/** Stores a value in a member. */
template <typename Struct, typename Member>
std::function<void(Struct&, const parsed_value&)> Into(Member Struct::*member) {
  return [member](Struct& out, const parsed_value& value) {
    Assign(out.*member, value);
  };
}

/** Stores a value in a member of a member. */
template <typename Struct, typename Inner, typename Member>
std::function<void(Struct&, const parsed_value&)> Into(Inner Struct::*outer,
                                                       Member Inner::*member) {
  return [outer, member](Struct& out, const parsed_value& value) {
    Assign(out.*outer.*member, value);
  };
}

}  // namespace gentian::detail

#endif  // GENTIAN_SETTINGS_SETTINGS_ASSIGN_H_
