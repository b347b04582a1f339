#include <string>
#include <utility>

#include "configuration_schema.h"
#include "faults.h"
#include "mustardproxy/core/error.h"
#include "paths.h"

namespace mustardproxy::settings_detail {
namespace {

/// Compares the parts of a configuration and adds what does not fit.
class ConfigurationChecker {
 public:
  ConfigurationChecker(const Configuration& configuration, Problems* problems)
      : configuration(configuration), faults(*problems), problems(problems) {}

  void Check() {
    for (const auto& entry : this->configuration.services) {
      this->CheckService(entry.second);
    }
    this->CheckDefaultTeam();
  }

 private:
  void CheckService(const Service& service) {
    const std::string path = JoinName("services", service.id.Text());
    if (this->faults.Any({path, path + ".profile"})) return;
    const auto profile = this->configuration.profiles.find(service.profile);
    if (profile != this->configuration.profiles.end()) {
      this->CheckTasks(path, service, profile->second);
      return;
    }
    // A profile whose own name is wrong was not taken in; it is named already.
    const std::string target = JoinName("profiles", service.profile.Text());
    if (this->faults.Any({"profiles", target})) return;
    this->Add(path + ".profile", Error::kUnknownReference,
              "no profile \"" + service.profile.Text() + "\"");
  }

  void CheckTasks(const std::string& path, const Service& service,
                  const Profile& profile) {
    const std::string target = JoinName("profiles", profile.id.Text());
    const std::string tasks = path + ".tasks";
    if (this->faults.Any({tasks, target, target + ".gang"})) return;
    const std::string name = "profile \"" + profile.id.Text() + "\"";
    if (profile.gang && service.tasks == 1) {
      this->Add(tasks, Error::kOutOfRange,
                "found 1, allowed with the gang " + name + ": 2 to 10000");
    }
    if (!profile.gang && service.tasks > 1) {
      this->Add(tasks, Error::kOutOfRange,
                "found " + std::to_string(service.tasks) + ", allowed with " +
                    name + ", which is no gang: 1");
    }
  }

  void CheckDefaultTeam() {
    const TeamId& team = this->configuration.default_team;
    const std::string target = JoinName("teams", team.Text());
    if (this->faults.Any({"", "default_team", "teams", target})) return;
    if (this->configuration.teams.contains(team)) return;
    this->Add("default_team", Error::kUnknownReference,
              "no team \"" + team.Text() + "\"");
  }

  void Add(std::string path, Error reason, std::string detail) {
    this->problems->push_back({std::move(path), reason, std::move(detail)});
  }

  const Configuration& configuration;
  Faults faults;
  Problems* problems;
};

}  // namespace

void CheckConfiguration(const Configuration& configuration,
                        Problems* problems) {
  ConfigurationChecker(configuration, problems).Check();
}

}  // namespace mustardproxy::settings_detail
