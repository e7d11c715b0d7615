#pragma once

#include "plantainpitch/runtime/setting_rule.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::runtime {

/// The settings of a program: gflags flags that can also be set by environment variables
/// PLANTAIN_<FLAG>; the command line takes precedence. Flags are registered for the life of the
/// process, so the settings and the values they fill must be kept until it ends.
class settings
{
public:
    settings(std::string program, std::string summary);

    /// Starts a group of flags in the help text.
    void group(const std::string &title);
    /// Adds a flag. \a value holds the default and receives the setting.
    void add(const char *name, std::string &value, const std::string &help,
             const setting_rule &rule);
    void add(const char *name, std::uint32_t &value, const std::string &help,
             const setting_rule &rule);
    void add(const char *name, std::int64_t &value, const std::string &help,
             const setting_rule &rule);

    /// Adds a check over several settings. \a problem returns nothing or the error with its remedy.
    void addCheck(std::function<std::string()> problem);

    using environment = std::function<const char *(const std::string &variable)>;

    /// Reads environment and arguments and checks all settings. Returns the exit code if the
    /// program has to end: 0 after --help, --version or a successful --check, 2 after bad
    /// settings, all of which are then listed on \a errors.
    std::optional<int> load(const std::vector<std::string> &arguments, const environment &variables,
                            std::ostream &output, std::ostream &errors);
    /// The same with the arguments and environment of the process.
    std::optional<int> load(int argc, char **argv);

private:
    struct flag
    {
        std::string group;
        std::string name;
        std::string help;
        std::string defaultText;
        setting_rule rule;
        std::function<std::string()> text; ///< value as it is now
        std::string stringDefault;
        std::uint32_t uint32Default = 0;
        std::int64_t int64Default = 0;
    };
    enum class request { run, check, help, version };

    flag &addFlag(const char *name, const std::string &help, const setting_rule &rule);
    flag *find(const std::string &name);
    void set(flag &target, const std::string &origin, const std::string &value);
    void readEnvironment(const environment &variables);
    request readArguments(const std::vector<std::string> &arguments);
    void rejectUnknown(const std::string &name);
    void checkAll();
    void checkAcrossFlags();
    void printHelp(std::ostream &output) const;

    std::string m_program;
    std::string m_summary;
    std::string m_group;
    std::deque<flag> m_flags; // gflags keeps pointers to the names and texts
    std::vector<std::function<std::string()>> m_checks;
    std::vector<std::string> m_errors;
};

} // namespace plantainpitch::runtime
