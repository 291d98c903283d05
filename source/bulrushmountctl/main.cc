// bulrushmountctl: the command line tool for operators; see `--help`.

#include <iostream>

#include "bulrushmountctl/ctl_commands.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(
      bulrushmount::RunCtl(arguments, std::cout, std::cerr));
}
