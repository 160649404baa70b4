#ifndef HICKORYGAP_TESTS_SCENARIOS_RUNNER_CHILD_PROCESS_HPP
#define HICKORYGAP_TESTS_SCENARIOS_RUNNER_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace hickorygap::testing
{

// A process that the scenario started. Killed when the object goes away.
class child_process
{
public:
    // Standard output and error go to the files.
    child_process(
        const std::vector<std::string>& arguments,
        const std::string& output_file, const std::string& error_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;

    // Waits up to the limit; the exit code, 128 + signal, or nothing.
    std::optional<int> wait(double limit_seconds);
    bool running();

    // Valid until the end of the process is collected by wait.
    pid_t pid() const
    {
        return pid_;
    }

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace hickorygap::testing

#endif
