#include "cli_operator.h"
#include "cli_operator_client.h"
#include "config_schema.h"
#include "key_digest.h"
#include "operator_api.h"
#include "status_report.h"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <toml++/toml.h>

namespace plantainwall {

using web::json::value;

namespace {

    constexpr size_t keyIdLength = 12;
    constexpr Duration watchWait = std::chrono::seconds(10);

    /// Arguments of all operator commands; each command uses only some of them.
    struct Arguments {
        std::string server;
        std::string credential;
        std::string credentialFile;
        bool json = false;
        std::string path;
        std::string text;
        std::string file;
        std::string prefix;
        std::string team;
        std::string service;
        std::vector<std::string> services;
        std::string keyId;
        std::string name;
        std::vector<std::string> roles;
        std::optional<double> rate;
        std::optional<double> burst;
        std::optional<double> weight;
        std::optional<uint64_t> revision;
        uint64_t after = 0;
        uint64_t count = 0;
    };

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw OperatorCallFailed(OperatorExit::Usage, "cannot read file '" + path + "'");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    std::string trimmed(const std::string& text)
    {
        const size_t end = text.find_last_not_of(" \t\r\n");
        return end == std::string::npos ? std::string() : text.substr(0, end + 1);
    }

    std::string tomlText(const toml::table& table)
    {
        std::ostringstream text;
        text << table;
        return text.str();
    }

    toml::array tomlArray(const std::vector<std::string>& names)
    {
        toml::array array;
        for (const std::string& name : names)
            array.push_back(name);
        return array;
    }

    /// Implements the operator commands. Each sends its requests to the server given in the arguments.
    class Commands {
    public:
        explicit Commands(OperatorCommandContext context)
            : m_context(std::move(context))
        {
        }

        Arguments& arguments() { return m_arguments; }

        /// Runs a command; prints a failure and throws CLI::RuntimeError with its exit code.
        void run(void (Commands::*command)())
        {
            try {
                (this->*command)();
            } catch (const OperatorCallFailed& failure) {
                if (m_arguments.json && !failure.body().empty())
                    *m_context.out << failure.body() << std::endl;
                *m_context.error << "error: " << failure.what() << std::endl;
                throw CLI::RuntimeError(static_cast<int>(failure.exitCode()));
            }
        }

        void configGet()
        {
            const value entry = client().get(m_arguments.path);
            if (m_arguments.json)
                printJson(entry);
            if (entry.at("value").is_null() && !entry.has_field("redacted"))
                throw OperatorCallFailed(OperatorExit::Refused, "'" + m_arguments.path + "' has no value");
            if (!m_arguments.json)
                printEntry(entry);
        }

        void configSet()
        {
            if (m_arguments.text.empty() == m_arguments.file.empty())
                throw OperatorCallFailed(OperatorExit::Usage, "give the value either as an argument or with --file");
            set(m_arguments.path, m_arguments.file.empty() ? m_arguments.text : readFile(m_arguments.file),
                m_arguments.revision);
        }

        void configDelete() { remove(m_arguments.path, m_arguments.revision); }
        void configList() { printList(client().list(m_arguments.prefix)); }

        void configWatch()
        {
            uint64_t printed = 0;
            for (uint64_t after = m_arguments.after;;) {
                const value changes = client().watch(m_arguments.prefix, after, watchWait);
                after = changes.at("revision").as_number().to_uint64();
                for (const value& entry : changes.at("entries").as_array()) {
                    printChange(entry);
                    if (++printed == m_arguments.count)
                        return;
                }
            }
        }

        void teamCreate()
        {
            // Writes the services first: until the limits are written, the team has a rate of 0 and is not served.
            if (!m_arguments.services.empty())
                set(servicesPath(), servicesText(), 0);
            set(limitsPath(), limitsText(*m_arguments.rate, *m_arguments.burst, m_arguments.weight.value_or(1)), 0);
        }

        void teamServices() { set(servicesPath(), servicesText(), std::nullopt); }

        void teamList()
        {
            const value listing = client().list("teams/");
            if (m_arguments.json) {
                printJson(listing);
                return;
            }
            std::set<std::string> teams;
            for (const value& entry : listing.at("entries").as_array())
                teams.insert(splitConfigPath(entry.at("path").as_string()).at(1));
            for (const std::string& team : teams)
                *m_context.out << team << std::endl;
        }

        void teamShow() { printList(client().list("teams/" + m_arguments.team + "/")); }

        void teamDelete()
        {
            const value listing = client().list("teams/" + m_arguments.team + "/");
            if (listing.at("entries").size() == 0)
                throw OperatorCallFailed(OperatorExit::Refused, "team '" + m_arguments.team + "' does not exist");
            std::vector<std::string> paths;
            for (const value& entry : listing.at("entries").as_array())
                paths.push_back(entry.at("path").as_string());
            // Deletes the list of services first: without it, all entry hosts refuse the team.
            std::stable_partition(paths.begin(), paths.end(), [](const std::string& path) {
                return path.size() > 9 && path.compare(path.size() - 9, 9, "/services") == 0;
            });
            for (const std::string& path : paths)
                remove(path, std::nullopt);
        }

        void keyCreate()
        {
            const std::string id = m_arguments.keyId.empty() ? randomName(keyIdLength) : m_arguments.keyId;
            const std::string key = generateKey(keyPrefix, id);
            toml::table table;
            table.insert("digest", keyDigest(key));
            table.insert("created", wallClockTime());
            table.insert("withdrawn", false);
            const value answer = client().change(keyPath(id), tomlText(table), 0);
            if (m_arguments.json) {
                value json = answer;
                json["key_id"] = value::string(id);
                json["key"] = value::string(key);
                printJson(json);
                return;
            }
            *m_context.out << key << std::endl;
            *m_context.error << "key id " << id << "; the key is not stored and cannot be shown again" << std::endl;
        }

        void keyList()
        {
            const value listing = client().list("teams/" + m_arguments.team + "/keys/");
            if (m_arguments.json) {
                printJson(listing);
                return;
            }
            for (const value& entry : listing.at("entries").as_array()) {
                const std::string path = entry.at("path").as_string();
                const toml::table table = parseToml(entry);
                *m_context.out << splitConfigPath(path).at(3) << "  created "
                               << table["created"].value_or(std::string("unknown")) << "  "
                               << (table["withdrawn"].value_or(false) ? "withdrawn" : "active") << std::endl;
            }
        }

        void keyWithdraw()
        {
            const std::string path = keyPath(m_arguments.keyId);
            const value entry = getExisting(path);
            toml::table table = parseToml(entry);
            table.insert_or_assign("withdrawn", true);
            set(path, tomlText(table), entry.at("revision").as_number().to_uint64());
        }

        void approveAdd() { set(approvalPath(), "approved = true", std::nullopt); }
        void approveRemove() { set(approvalPath(), "approved = false", std::nullopt); }
        void approveList() { printList(client().list("services/" + m_arguments.service + "/approvals/")); }

        void limitsSet()
        {
            if (!m_arguments.rate && !m_arguments.burst && !m_arguments.weight)
                throw OperatorCallFailed(OperatorExit::Usage, "give at least one of --rate, --burst and --weight");
            const value entry = getExisting(limitsPath());
            const toml::table table = parseToml(entry);
            set(limitsPath(),
                limitsText(m_arguments.rate.value_or(table["rate_per_s"].value_or(0.0)),
                    m_arguments.burst.value_or(table["burst"].value_or(1.0)),
                    m_arguments.weight.value_or(table["weight"].value_or(1.0))),
                entry.at("revision").as_number().to_uint64());
        }

        void limitsShow()
        {
            m_arguments.path = limitsPath();
            configGet();
        }

        void operatorCreate()
        {
            const std::string credential = generateKey(operatorPrefix, m_arguments.name);
            toml::table table;
            table.insert("digest", keyDigest(credential));
            table.insert("roles", tomlArray(m_arguments.roles));
            client().change("operators/" + m_arguments.name, tomlText(table), 0);
            *m_context.out << credential << std::endl;
        }

        void operatorCredential()
        {
            const std::string credential = generateKey(operatorPrefix, m_arguments.name);
            *m_context.out << "credential " << credential << "\ndigest " << keyDigest(credential) << std::endl;
        }

        void status()
        {
            const value report = client().status();
            if (m_arguments.json)
                printJson(report);
            else
                *m_context.out << statusText(report);
        }

    private:
        std::string limitsPath() const { return "teams/" + m_arguments.team + "/limits"; }
        std::string servicesPath() const { return "teams/" + m_arguments.team + "/services"; }
        std::string keyPath(const std::string& id) const { return "teams/" + m_arguments.team + "/keys/" + id; }
        std::string approvalPath() const
        {
            return "services/" + m_arguments.service + "/approvals/" + m_arguments.team;
        }

        std::string servicesText() const
        {
            toml::table table;
            table.insert("services", tomlArray(m_arguments.services));
            return tomlText(table);
        }

        static std::string limitsText(double rate, double burst, double weight)
        {
            std::ostringstream text;
            text.precision(15);
            text << "rate_per_s = " << rate << "\nburst = " << burst << "\nweight = " << weight << "\n";
            return text.str();
        }

        static toml::table parseToml(const value& entry)
        {
            try {
                return toml::parse(entry.at("value").as_string());
            } catch (const toml::parse_error& error) {
                throw OperatorCallFailed(OperatorExit::Refused, std::string("stored value: ") + error.what());
            }
        }

        OperatorClient client()
        {
            std::string credential = m_arguments.credential;
            if (!m_arguments.credentialFile.empty())
                credential = readFile(m_arguments.credentialFile);
            if (m_arguments.server.empty() || trimmed(credential).empty())
                throw OperatorCallFailed(OperatorExit::Usage,
                    "give the server with --server or PLANTAINWALL_SERVER, and the credential with "
                    "--operator-credential-file or PLANTAINWALL_OPERATOR");
            return { m_context.makeCaller(m_arguments.server), trimmed(credential), m_context.pause };
        }

        value getExisting(const std::string& path)
        {
            value entry = client().get(path);
            if (entry.at("value").is_null())
                throw OperatorCallFailed(OperatorExit::Refused, "'" + path + "' has no value");
            return entry;
        }

        /// Writes a value. Revision 0 requires that the path has no value; if absent, the current revision is used.
        void set(const std::string& path, const std::string& text, std::optional<uint64_t> revision)
        {
            OperatorClient server = client();
            if (!revision || *revision == 0) {
                const value entry = server.get(path);
                // A deleted path keeps its revision, and a new value must be written with that revision.
                if (!revision || entry.at("value").is_null())
                    revision = entry.at("revision").as_number().to_uint64();
            }
            report(path, server.change(path, text, *revision));
        }

        void remove(const std::string& path, std::optional<uint64_t> revision)
        {
            OperatorClient server = client();
            if (!revision)
                revision = server.get(path).at("revision").as_number().to_uint64();
            report(path, server.change(path, std::nullopt, *revision));
        }

        void report(const std::string& path, const value& answer)
        {
            if (m_arguments.json)
                printJson(answer);
            else
                *m_context.out << path << " is at revision " << answer.at("revision").serialize() << std::endl;
        }

        void printJson(const value& json) { *m_context.out << json.serialize() << std::endl; }

        void printEntry(const value& entry)
        {
            if (entry.has_string_field("author"))
                *m_context.out << "# revision " << entry.at("revision").serialize() << " by "
                               << entry.at("author").as_string() << " at " << entry.at("time").as_string() << std::endl;
            *m_context.out << (entry.at("value").is_null() ? "# redacted" : trimmed(entry.at("value").as_string()))
                           << std::endl;
        }

        void printList(const value& listing)
        {
            if (m_arguments.json) {
                printJson(listing);
                return;
            }
            for (const value& entry : listing.at("entries").as_array()) {
                *m_context.out << "[" << entry.at("path").as_string() << "]" << std::endl;
                printEntry(entry);
            }
        }

        void printChange(const value& entry)
        {
            if (m_arguments.json) {
                printJson(entry);
                return;
            }
            const bool deleted = entry.at("value").is_null() && !entry.has_field("redacted");
            *m_context.out << "[" << entry.at("path").as_string() << "]" << (deleted ? " deleted" : "") << std::endl;
            if (!deleted)
                printEntry(entry);
        }

        OperatorCommandContext m_context;
        Arguments m_arguments;
    };

    using CommandsPtr = std::shared_ptr<Commands>;

    /// Adds an option whose value becomes one part of a configuration path.
    CLI::Option* addNameOption(CLI::App* app, const std::string& option, std::string& target, const std::string& text)
    {
        const auto check = [](const std::string& name) {
            return isConfigName(name) ? std::string() : "'" + name + "' is not a valid name";
        };
        return app->add_option(option, target, text)->check(check);
    }

    void addServerOptions(CLI::App* app, Arguments& arguments)
    {
        app->add_option("--server", arguments.server, "Entry host, http://<ip>:<port>")->envname("PLANTAINWALL_SERVER");
        app->add_option("--operator-credential-file", arguments.credentialFile, "File with the operator's credential");
        app->add_option("--operator-credential", arguments.credential, "Read from the environment only")
            ->envname("PLANTAINWALL_OPERATOR")
            ->group("");
        app->add_flag("--json", arguments.json, "Print JSON");
    }

    CLI::App* addGroup(CLI::App& app, const CommandsPtr& commands, const std::string& name, const std::string& text)
    {
        CLI::App* group = app.add_subcommand(name, text);
        group->require_subcommand(1);
        addServerOptions(group, commands->arguments());
        return group;
    }

    CLI::App* addCommand(CLI::App* group, const CommandsPtr& commands, const std::string& name, const std::string& text,
        void (Commands::*command)())
    {
        CLI::App* app = group->add_subcommand(name, text);
        app->fallthrough();
        app->callback([commands, command] { commands->run(command); });
        return app;
    }

    void addConfig(CLI::App& app, const CommandsPtr& commands)
    {
        Arguments& arguments = commands->arguments();
        CLI::App* group = addGroup(app, commands, "config", "Read and change configuration paths");
        CLI::App* get = addCommand(group, commands, "get", "Show a path", &Commands::configGet);
        CLI::App* set = addCommand(group, commands, "set", "Set a path to a TOML value", &Commands::configSet);
        CLI::App* erase = addCommand(group, commands, "delete", "Delete a path", &Commands::configDelete);
        for (CLI::App* command : { get, set, erase })
            command->add_option("path", arguments.path, "Path, for example teams/hats/limits")->required();
        set->add_option("value", arguments.text, "TOML text");
        set->add_option("--file", arguments.file, "File with the TOML text");
        for (CLI::App* command : { set, erase })
            command->add_option("--revision", arguments.revision, "Refuse if the path is at another revision");
        CLI::App* list = addCommand(group, commands, "list", "List paths and values", &Commands::configList);
        CLI::App* watch = addCommand(group, commands, "watch", "Print changes as they happen", &Commands::configWatch);
        for (CLI::App* command : { list, watch })
            command->add_option("prefix", arguments.prefix, "Prefix of the paths; all if absent");
        watch->add_option("--after", arguments.after, "Start after this revision");
        watch->add_option("--count", arguments.count, "End after this number of changes");
    }

    void addTeam(CLI::App& app, const CommandsPtr& commands)
    {
        Arguments& arguments = commands->arguments();
        CLI::App* group = addGroup(app, commands, "team", "Manage customers");
        CLI::App* create = addCommand(group, commands, "create", "Create a team", &Commands::teamCreate);
        CLI::App* services
            = addCommand(group, commands, "services", "Set the services a team uses", &Commands::teamServices);
        CLI::App* show = addCommand(group, commands, "show", "Show a team", &Commands::teamShow);
        CLI::App* erase = addCommand(group, commands, "delete", "Delete a team with its keys", &Commands::teamDelete);
        for (CLI::App* command : { create, services, show, erase })
            addNameOption(command, "team", arguments.team, "Name of the team")->required();
        create->add_option("--rate", arguments.rate, "Requests per second over all entry hosts")->required();
        create->add_option("--burst", arguments.burst, "Requests at once")->required();
        create->add_option("--weight", arguments.weight, "Weight in the queues of the databases");
        create->add_option("--service", arguments.services, "Service the team uses; repeatable");
        services->add_option("services", arguments.services, "Services; none if absent");
        addCommand(group, commands, "list", "List the teams", &Commands::teamList);
    }

    void addKey(CLI::App& app, const CommandsPtr& commands)
    {
        Arguments& arguments = commands->arguments();
        CLI::App* group = addGroup(app, commands, "key", "Issue and withdraw customers' keys");
        CLI::App* create = addCommand(group, commands, "create", "Create a key; prints it once", &Commands::keyCreate);
        CLI::App* list = addCommand(group, commands, "list", "List a team's keys", &Commands::keyList);
        CLI::App* withdraw = addCommand(group, commands, "withdraw", "Withdraw a key", &Commands::keyWithdraw);
        for (CLI::App* command : { create, list, withdraw })
            addNameOption(command, "team", arguments.team, "Name of the team")->required();
        addNameOption(create, "--id", arguments.keyId, "Key id; random if absent");
        addNameOption(withdraw, "keyid", arguments.keyId, "Key id")->required();
    }

    void addApprove(CLI::App& app, const CommandsPtr& commands)
    {
        Arguments& arguments = commands->arguments();
        CLI::App* group = addGroup(app, commands, "approve", "Approve customers for a service");
        CLI::App* add = addCommand(group, commands, "add", "Approve a team", &Commands::approveAdd);
        CLI::App* erase = addCommand(group, commands, "remove", "Withdraw an approval", &Commands::approveRemove);
        CLI::App* list = addCommand(group, commands, "list", "List a service's approvals", &Commands::approveList);
        for (CLI::App* command : { add, erase, list })
            addNameOption(command, "service", arguments.service, "Name of the service")->required();
        for (CLI::App* command : { add, erase })
            addNameOption(command, "team", arguments.team, "Name of the team")->required();
    }

    void addLimits(CLI::App& app, const CommandsPtr& commands)
    {
        Arguments& arguments = commands->arguments();
        CLI::App* group = addGroup(app, commands, "limits", "Customers' rates");
        CLI::App* set = addCommand(group, commands, "set", "Change a team's limits", &Commands::limitsSet);
        CLI::App* show = addCommand(group, commands, "show", "Show a team's limits", &Commands::limitsShow);
        for (CLI::App* command : { set, show })
            addNameOption(command, "team", arguments.team, "Name of the team")->required();
        set->add_option("--rate", arguments.rate, "Requests per second over all entry hosts");
        set->add_option("--burst", arguments.burst, "Requests at once");
        set->add_option("--weight", arguments.weight, "Weight in the queues of the databases");
    }

    void addOperator(CLI::App& app, const CommandsPtr& commands)
    {
        Arguments& arguments = commands->arguments();
        CLI::App* group = addGroup(app, commands, "operator", "Manage operators");
        CLI::App* create = addCommand(
            group, commands, "create", "Create an operator; prints the credential once", &Commands::operatorCreate);
        CLI::App* credential = addCommand(group, commands, "credential",
            "Print a new credential and its digest for the settings", &Commands::operatorCredential);
        for (CLI::App* command : { create, credential })
            addNameOption(command, "name", arguments.name, "Name of the operator")->required();
        create->add_option("--role", arguments.roles, "platform, team:<team> or service:<service>; repeatable")
            ->required();
    }

    void addStatus(CLI::App& app, const CommandsPtr& commands)
    {
        CLI::App* status = app.add_subcommand("status", "Show the status of an entry host");
        addServerOptions(status, commands->arguments());
        status->callback([commands] { commands->run(&Commands::status); });
    }

} // namespace

void addOperatorCommands(CLI::App& app, const OperatorCommandContext& context)
{
    const CommandsPtr commands = std::make_shared<Commands>(context);
    addConfig(app, commands);
    addTeam(app, commands);
    addKey(app, commands);
    addApprove(app, commands);
    addLimits(app, commands);
    addOperator(app, commands);
    addStatus(app, commands);
}

int runCommandLine(CLI::App& app, int argc, const char* const* argv)
{
    try {
        app.parse(argc, argv);
        return static_cast<int>(OperatorExit::Ok);
    } catch (const CLI::RuntimeError& error) {
        return error.get_exit_code();
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? static_cast<int>(OperatorExit::Ok) : static_cast<int>(OperatorExit::Usage);
    }
}

} // namespace plantainwall
