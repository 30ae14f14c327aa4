#include "cli_explain.h"
#include "log_explain.h"
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

namespace plantainwall {

namespace {

    constexpr int exitNotFound = 1;

    struct ExplainArguments {
        std::string request;
        std::vector<std::string> files;
    };

    void explain(const ExplainArguments& arguments)
    {
        LogExplainer explainer;
        if (arguments.files.empty())
            explainer.read(std::cin);
        for (const std::string& path : arguments.files) {
            std::ifstream file(path);
            if (!file)
                throw CLI::RuntimeError("cannot read " + path, exitNotFound);
            explainer.read(file);
        }
        if (explainer.unreadable() > 0)
            std::cerr << explainer.unreadable() << " lines skipped: not log lines in JSON" << std::endl;
        const RequestExplanation explanation = explainer.explain(arguments.request);
        printExplanation(std::cout, arguments.request, explanation);
        if (explanation.path.empty())
            throw CLI::RuntimeError(exitNotFound);
    }

} // namespace

void addExplainCommand(CLI::App& app)
{
    const std::shared_ptr<ExplainArguments> arguments = std::make_shared<ExplainArguments>();
    CLI::App* const command
        = app.add_subcommand("explain", "Print what logs say about a request: its path, the outcome, what is missing");
    command->add_option("request", arguments->request, "Request id as the log shows it, with or without its quotes")
        ->required();
    command->add_option("logs", arguments->files, "Logs in JSON, one or more hosts each; standard input if absent");
    command->callback([arguments] { explain(*arguments); });
}

} // namespace plantainwall
