#include "ctl/declaration_commands.h"

#include "ctl/input_file.h"
#include "ctl/wait_command.h"
#include "declaration/declaration.h"

#include <ostream>

namespace lycheetrestle::ctl {

namespace {

struct checked_file {
  std::string Text;
  fleet::declaration Declaration;
};

core::result<checked_file> readDeclaration(const std::string &Path) {
  checked_file File;
  BOOST_LEAF_ASSIGN(File.Text,
                    readInput(Path, declaration::MaxDeclarationBytes));
  BOOST_LEAF_ASSIGN(File.Declaration, declaration::parseDeclaration(File.Text));
  return File;
}

} // namespace

exit_code validateCommand(const command_context &Context) {
  auto File =
      core::capture([&] { return readDeclaration(Context.Arguments[0]); });
  if (auto *Failure = std::get_if<1>(&File))
    return Context.rejectInput(*Failure);
  const auto &Declaration = std::get<0>(File).Declaration;
  Context.Out << "declaration " << Declaration.Number << " is valid (pools "
              << Declaration.Pools.size() << ", services "
              << Declaration.Services.size() << ", hosts "
              << Declaration.Hosts.size() << ", teams "
              << Declaration.Teams.size() << ")\n";
  return exit_code::Done;
}

exit_code planCommand(const command_context &Context) {
  auto File =
      core::capture([&] { return readDeclaration(Context.Arguments[0]); });
  if (auto *Failure = std::get_if<1>(&File))
    return Context.rejectInput(*Failure);
  return Context.finish(Context.Client->postDryRun("/v1/declarations?dry_run=1",
                                                   std::get<0>(File).Text));
}

exit_code submitCommand(const command_context &Context) {
  auto File =
      core::capture([&] { return readDeclaration(Context.Arguments[0]); });
  if (auto *Failure = std::get_if<1>(&File))
    return Context.rejectInput(*Failure);
  const auto &Checked = std::get<0>(File);
  auto Outcome = Context.change("POST", "/v1/declarations", Checked.Text);
  checkChangedObject(Outcome, "number",
                     std::to_string(Checked.Declaration.Number));
  auto Code = Context.finish(Outcome);
  if (Code != exit_code::Done || !Context.Options.Wait)
    return Code;
  return waitUntilInForce(Context, Checked.Declaration.Number);
}

exit_code declarationsCommand(const command_context &Context) {
  std::string Path = "/v1/declarations";
  if (!Context.Arguments.empty())
    Path += "/" + Context.Arguments[0];
  return Context.finish(Context.Client->read(Path));
}

} // namespace lycheetrestle::ctl
