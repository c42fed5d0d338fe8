#ifndef GENTIAN_APP_ADMIN_COMMANDS_H_
#define GENTIAN_APP_ADMIN_COMMANDS_H_

#include "gentian_app/admin_session.h"

namespace gentian {

/** Prints the settings tree in force. */
int ShowSettings(admin_session& session);

/** Prints the effective value of a key and the section that it comes from. */
int ShowValue(admin_session& session);

/** Prints what a change would alter, without making it. */
int ShowDifference(admin_session& session);

/** Makes a change. */
int ApplyChange(admin_session& session);

/** Prints accepted changes, newest first. */
int ShowHistory(admin_session& session);

/** Makes a new version that undoes all changes after an older one. */
int RollBack(admin_session& session);

/** Prints on how many daemons a version is in force. */
int ShowRollout(admin_session& session);

/** Makes a key for a team and prints it once. */
int GrantKey(admin_session& session);

/** Prints the labels and hashes of granted keys. */
int ListKeys(admin_session& session);

/** Ends a key at once and removes it from the settings. */
int WithdrawKey(admin_session& session);

/** Prints members, queues, teams, sessions and counters. */
int ShowStatus(admin_session& session);

/** Checks a new tree, sends the difference and prints the new version.

    @param comment  what the history says about the change
    @returns        the new version, or the exit code of what was printed
*/
std::variant<std::uint64_t, int> SendChange(admin_session& session,
                                            const settings_snapshot& before,
                                            const settings_tree& after,
                                            const std::string& comment);

}  // namespace gentian

#endif  // GENTIAN_APP_ADMIN_COMMANDS_H_
