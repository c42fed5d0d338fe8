#ifndef GENTIAN_APP_SUBCOMMAND_H_
#define GENTIAN_APP_SUBCOMMAND_H_

namespace gentian {

/** One subcommand of the command line. */
struct subcommand {
  const char* name;
  const char* summary;
  /** Runs it. `argv[0]` is the subcommand's name. Returns the exit status. */
  int (*run)(int argc, char** argv);
  /** It takes the signals that come itself. */
  bool takes_signals = false;
};

/** Checks settings files. */
int RunCheck(int argc, char** argv);

/** Runs one command of an operator against a daemon. */
int RunAdmin(int argc, char** argv);

/** Runs a daemon as its settings file describes it. */
int RunServe(int argc, char** argv);

/** Tells from logs what became of a request. */
int RunExplain(int argc, char** argv);

/** Runs a daemon on the users' platform. */
int RunGatewayCommand(int argc, char** argv);

/** Runs the turn store of a host with a disk on the users' platform. */
int RunTurnStoreCommand(int argc, char** argv);

/** Runs a daemon with fakes of all outside systems in one process. */
int RunDev(int argc, char** argv);

}  // namespace gentian

#endif  // GENTIAN_APP_SUBCOMMAND_H_
