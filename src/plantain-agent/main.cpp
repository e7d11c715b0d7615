#include "agent_shell.h"

#include "plantainpitch/model/error.h"

#include <iostream>

using namespace plantainpitch;

int main(int argc, char **argv)
{
    agent::agent_settings values;
    runtime::settings settings("plantain-agent", "runs requests and tasks of the system on one VM");
    values.registerIn(settings);
    if (const auto exitCode = settings.load(argc, argv))
        return *exitCode;
    try {
        agent::agent_shell(values).run();
    } catch (const error &failure) {
        std::cerr << "plantain-agent: " << failure.what() << '\n';
        return failure.kind() == error_kind::invalid_argument ? 2 : 1;
    }
    return 0;
}
