"""Tests of .ci/check_clean_build on a small project of the tests' own, built and started by the real check."""

import pathlib
import shutil
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]

DEPLOY_FILE = """\
build = "{build}"
run = "{run}"
sim = "{sim}"
packages = [{packages}]
"""
BUILD = "cmake -B build && cmake --build build"
RUN = "trap '' HUP; exec build/server serve"
SIM = "exec build/server"
COMPILER_PACKAGES = ("g++", "cmake", "make")

CMAKE_PROJECT = """\
cmake_minimum_required(VERSION 3.25)
project(server LANGUAGES CXX)
add_executable(server server.cpp)
"""
# Tells a version, refuses to serve without a configuration, and reads its input to the end otherwise.
SERVER = """\
#include <iostream>
#include <string>
int main(int count, char** arguments) {
  const std::string word = count > 1 ? arguments[1] : "";
  if (word == "version") return std::cout << "server 1.0\\n", 0;
  if (word == "serve") return std::cerr << "a configuration is required\\n", 106;
  for (std::string line; std::getline(std::cin, line);) {
  }
}
"""


class CheckCleanBuildTest(unittest.TestCase):
    """Each test commits a project and runs the check on it."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        pathlib.Path(folder.name).chmod(0o755)  # an ordinary user builds below it
        self.repository = pathlib.Path(folder.name) / "repository"
        self.scratch = pathlib.Path(folder.name) / "scratch"
        self.scratch.mkdir()
        shutil.copytree(ROOT / ".ci", self.repository / ".ci")
        (self.repository / "deploy").mkdir()
        self.write("CMakeLists.txt", CMAKE_PROJECT)
        self.write("server.cpp", SERVER)
        self.write_deploy_file()

    def write(self, name, text):
        (self.repository / name).write_text(text)

    def write_deploy_file(self, packages=COMPILER_PACKAGES, build=BUILD, run=RUN, sim=SIM):
        listed = ", ".join(f'"{name}"' for name in packages)
        self.write("deploy/balancer.toml", DEPLOY_FILE.format(build=build, run=run, sim=sim, packages=listed))

    def git(self, *arguments):
        identity = ["-c", "user.name=test", "-c", "user.email=test@example.invalid"]
        subprocess.run(["git", *identity, *arguments], cwd=self.repository, check=True, capture_output=True)

    def check(self, *arguments):
        self.git("init")
        self.git("add", "--all")
        self.git("commit", "--message", "project")
        result = subprocess.run(
            [self.repository / ".ci/check_clean_build", *arguments],
            env={"PATH": "/usr/sbin:/usr/bin:/sbin:/bin", "TMPDIR": str(self.scratch), "STEPRAIL_CALLER": "test"},
            capture_output=True,
            text=True,
        )
        self.assertEqual(list(self.scratch.iterdir()), [], "the check leaves nothing behind")
        return result

    def assert_passes(self):
        result = self.check()
        self.assertEqual((result.returncode, result.stderr), (0, ""), result.stdout)
        self.assertTrue(result.stdout.endswith("clean build: passed\n"), result.stdout)
        return result.stdout

    def assert_fails(self, *reasons, arguments=()):
        result = self.check(*arguments)
        self.assertEqual(result.returncode, 1, result.stdout)
        self.assertIn("clean build: FAILED: ", result.stderr)
        self.assertNotIn("Traceback", result.stderr)
        self.assertNotIn("passed", result.stdout)
        for reason in reasons:
            self.assertIn(reason, result.stderr)
        return result.stderr

    # The packages.

    def test_listed_packages_suffice(self):
        self.write("server.cpp", "#include <pcg_random.hpp>\n" + SERVER)
        self.write_deploy_file((*COMPILER_PACKAGES, "libpcg-cpp-dev"))
        self.assertIn("server 1.0", self.assert_passes())

    def test_a_hard_dependency_of_a_listed_package_suffices(self):
        self.write("server.cpp", "#include <fmt/format.h>\n" + SERVER)
        self.write_deploy_file((*COMPILER_PACKAGES, "libspdlog-dev"))
        self.assert_passes()

    def test_a_header_of_an_unlisted_package_is_named(self):
        self.write("server.cpp", "#include <pcg_random.hpp>\n" + SERVER)
        self.assert_fails(
            "of libpcg-cpp-dev, neither listed in deploy/balancer.toml nor a dependency",
            "header /usr/include/pcg_random.hpp, used by server.cpp",
        )

    def test_a_library_of_an_unlisted_package_is_named(self):
        self.write("CMakeLists.txt", CMAKE_PROJECT + "target_link_libraries(server PRIVATE lmdb)\n")
        self.assert_fails("of liblmdb-dev,", "/liblmdb.so, used by server")

    def test_an_unlisted_build_tool_is_named(self):
        self.write_deploy_file(("g++", "cmake"))  # which only recommends make
        self.assert_fails("of make,", "tool /usr/bin/gmake, used by CMAKE_MAKE_PROGRAM")

    def test_an_unlisted_compiler_is_named(self):
        self.write_deploy_file(("cmake", "make"))
        self.assert_fails("of g++", "/cc1plus, used by the compiler", "more files")

    def test_a_cmake_file_of_an_unlisted_package_is_named(self):
        self.write("CMakeLists.txt", CMAKE_PROJECT + "find_package(nlohmann_json REQUIRED)\n")
        self.assert_fails("of nlohmann-json3-dev,", "CMake file /usr/share/cmake/nlohmann_json/")

    def test_a_look_up_that_is_not_required_is_named(self):
        look = "find_package(nlohmann_json QUIET)\n# find_library(COMMENT x)\nfind_program(GIT\n  git)\n"
        self.write("CMakeLists.txt", CMAKE_PROJECT + look)
        reasons = self.assert_fails("CMakeLists.txt:4: find_package", "CMakeLists.txt:6: find_program")
        self.assertNotIn("find_library", reasons)

    def test_a_source_that_asks_whether_a_header_is_there_is_named(self):
        self.write("server.cpp", "#if __has_include(<pcg_random.hpp>)\n#endif\n" + SERVER)
        self.assert_fails("server.cpp:1: __has_include")

    def test_a_library_loaded_by_name_is_named(self):
        use = "#include <dlfcn.h>\nvoid* const library = dlopen(\"libglpk.so.40\", RTLD_LAZY);\n"
        self.write("server.cpp", use + SERVER)
        self.assert_fails("server.cpp:2: dlopen")

    def test_a_library_that_only_a_built_library_loads_is_named(self):
        self.write("solver.cpp", 'extern "C" int glp_free_env(void);\nint solve() { return glp_free_env(); }\n')
        link = "add_library(solver SHARED solver.cpp)\ntarget_link_libraries(solver PRIVATE glpk)\n"
        self.write("CMakeLists.txt", CMAKE_PROJECT + link)
        self.assert_fails("of libglpk", "/libglpk.so.40, used by libsolver.so")

    def test_a_package_that_does_not_exist_is_named(self):
        self.write_deploy_file((*COMPILER_PACKAGES, "no-such-package"))
        self.assert_fails("Unable to locate package no-such-package")

    def test_a_deploy_file_that_cannot_be_used_is_refused(self):
        for text, reason in (
            (None, "deploy/balancer.toml: cannot be read"),
            ("build = ", "deploy/balancer.toml: cannot be parsed"),
            (DEPLOY_FILE.format(build=BUILD, run=RUN, sim=SIM, packages=""), "packages: a list with a package or more"),
        ):
            with self.subTest(reason=reason):
                if text is None:
                    (self.repository / "deploy/balancer.toml").unlink()
                else:
                    self.write("deploy/balancer.toml", text)
                self.assertEqual(len(self.assert_fails(reason).splitlines()), 1)

    # The build.

    def test_a_file_that_is_not_committed_is_missed(self):
        self.write(".gitignore", "version.h\n")
        self.write("version.h", "\n")
        self.write("server.cpp", '#include "version.h"\n' + SERVER)
        self.assert_fails("server.cpp:1:10: fatal error: version.h: No such file or directory")

    def test_a_path_outside_the_checkout_is_named(self):
        with tempfile.NamedTemporaryFile(suffix=".h") as header:
            pathlib.Path(header.name).chmod(0o644)
            self.write("server.cpp", f'#include "{header.name}"\n' + SERVER)
            self.assert_fails("of no package, neither listed", f"header {header.name}, used by server.cpp")

    def test_a_build_that_writes_outside_the_folder_fails(self):
        self.write_deploy_file(build=f"{BUILD} && touch /usr/mark")
        self.assert_fails("`build` ended with 1", "Permission denied")

    def test_a_program_that_writes_to_the_folder_fails(self):
        self.write_deploy_file(sim="test ! -w build && exec build/server")
        self.assert_passes()
        self.write_deploy_file(sim="test -w build && exec build/server")
        self.assert_fails("`sim` at the end of its input ended with 1")

    def test_a_build_sees_nothing_of_the_caller_s_environment(self):
        self.write_deploy_file(build=f"{BUILD} && test -z $STEPRAIL_CALLER && test $HOME = $TMPDIR")
        self.assert_passes()

    def test_a_build_that_needs_root_fails(self):
        self.write_deploy_file(build=f"{BUILD} && test $(id -u) = 0")
        self.assert_fails("`build` ended with 1")

    def test_a_build_that_leaves_no_records_fails(self):
        self.write_deploy_file(build="true")
        self.assert_fails("the build's records name no header")

    def test_a_commit_that_does_not_exist_is_named(self):
        self.assert_fails("no-such-commit cannot be exported", arguments=["no-such-commit"])

    # The programs.

    def test_a_library_outside_the_folder_is_named(self):
        use = 'extern "C" int glp_free_env(void);\nconst int used = glp_free_env();\n'
        self.write("server.cpp", use + SERVER)
        self.write("CMakeLists.txt", CMAKE_PROJECT + "target_link_libraries(server PRIVATE glpk)\n")
        self.write_deploy_file((*COMPILER_PACKAGES, "libglpk-dev"))
        self.assert_fails("build/server loads ", "/libglpk.so.40 of libglpk40, which is not in the repository's folder")

    def test_a_run_that_starts_without_a_configuration_fails(self):
        self.write("server.cpp", SERVER.replace("106", "0"))
        self.assert_fails("`run` without a configuration ended with 0")

    def test_a_run_that_ends_without_a_reason_fails(self):
        self.write("server.cpp", SERVER.replace("a configuration is required", ""))
        self.assert_fails("`run` without a configuration ended with 106")

    def test_a_run_that_a_signal_ends_fails(self):
        self.write("server.cpp", SERVER.replace("106", "std::cerr.flush(), *static_cast<volatile int*>(nullptr)"))
        self.assert_fails("`run` without a configuration ended with 139")

    def test_a_run_without_a_version_fails(self):
        self.write("server.cpp", SERVER.replace('"server 1.0\\n", 0', '"server 1.0\\n", 1'))
        self.assert_fails("build/server version ended with 1")

    def test_a_run_that_does_not_end_by_exec_fails(self):
        self.write_deploy_file(run="build/server serve")
        self.assert_fails("`run` does not end by `exec PROGRAM`")

    def test_a_sim_that_fails_at_the_end_of_its_input_fails(self):
        self.write_deploy_file(sim="exec build/server serve")
        self.assert_fails("`sim` at the end of its input ended with 106")

    def test_a_program_that_is_not_built_fails(self):
        self.write_deploy_file(sim="exec build/simulator")
        self.assert_fails("build/simulator")


if __name__ == "__main__":
    unittest.main()
