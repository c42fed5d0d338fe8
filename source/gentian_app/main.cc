#include <cxxopts.hpp>
#include <iostream>

#include "gentian_daemon/gentian_daemon.h"

int main(int argc, char** argv) {
  cxxopts::Options options("gentianrun", "Scheduler for agent programs");
  options.add_options()("h,help", "Show this help")("version",
                                                    "Show the version");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("version") > 0) {
      std::cout << "gentianrun " << gentian::Version() << "\n";
      return 0;
    }
    std::cout << options.help();
    return 0;
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "gentianrun: " << failure.what()
              << "; see gentianrun --help\n";
    return 2;
  }
}
