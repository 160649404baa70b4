#include "process/commands/serve_command.hpp"

#include "common/logging.hpp"

namespace hickorygap
{

int run_serve(const settings& effective)
{
    set_log_level(effective.log.level);
    log(log_level::error, subsystem::process,
        "serve is not part of this build instance={}", effective.instance.id);
    return 1;
}

} // namespace hickorygap
