#include "process/commands/command_line.hpp"

int main(int argc, char** argv)
{
    return hickorygap::run_command_line(argc, argv);
}
