#!/usr/bin/env python3
"""Checks that deploy/system.toml lists every Debian package that its build uses.

Reads the output of the deploy build under target/: the compiler's dependency files (headers) and the link
commands. The script runs the link commands again with the linker's trace to find libraries and start files.
Each file and each tool that the build calls must belong to a package that is essential or in the closure of
Depends and Pre-Depends of the listed packages. The script prints each missing package with one of its files
and exits with status 1.

Usage: deploy_packages.py ROOT [--without PACKAGE]
--without ignores PACKAGE in the list, to test that the script notices a missing package.
"""
import argparse
import pathlib
import re
import shlex
import subprocess
import sys
import tomllib

BUILD_TOOLS = ["sh", "cmake", "make", "pkg-config", "c++", "as", "ld", "ar", "ranlib"]
PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")


def output_of(command, folder=None):
    return subprocess.run(command, cwd=folder, check=True, capture_output=True, text=True).stdout


class InstalledPackages:
    """The dependencies of the installed packages, as dpkg reports them."""

    def __init__(self):
        self.depends, self.providers, self.essential = {}, {}, set()
        fields = "${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\t${db:Status-Abbrev}\n"
        for line in output_of(["dpkg-query", "-W", "-f", fields]).splitlines():
            name, essential, depends, provides, status = line.split("\t")
            if not status.startswith("ii"):
                continue
            self.depends[name] = depends
            if essential == "yes":
                self.essential.add(name)
            for virtual in provides.split(","):
                if match := PACKAGE_NAME.match(virtual.strip()):
                    self.providers.setdefault(match.group(), []).append(name)

    def packages_for(self, dependency):
        """Returns the package of this name, or else the installed packages that provide the name."""
        return [dependency] if dependency in self.depends else self.providers.get(dependency, [])

    def closure(self, names):
        """Returns the installed packages among the names and all their installed dependencies."""
        visited, pending = set(), list(names)
        while pending:
            name = pending.pop()
            if name in visited or name not in self.depends:
                continue
            visited.add(name)
            for clause in self.depends[name].split(","):
                for alternative in clause.split("|"):
                    if match := PACKAGE_NAME.match(alternative.strip()):
                        pending += self.packages_for(match.group())
        return visited


def header_files(target):
    """Yields every absolute path in the compiler's dependency files."""
    for dependency_file in target.rglob("*.o.d"):
        text = dependency_file.read_text().replace("\\\n", " ")
        yield from (word for word in text.split(":", 1)[1].split() if word.startswith("/"))


def linked_files(target):
    """Yields every file that the linker opens when the programs are linked again."""
    for link_command in target.rglob("link.txt"):
        for line in link_command.read_text().splitlines():
            command = shlex.split(line)
            if not command[0].endswith(("c++", "g++")):
                continue  # creates an archive of the project's own objects
            trace = output_of(command + ["-Wl,--trace"], folder=link_command.parents[2])
            yield from (path for path in re.findall(r"(?:^|[\s(])(/[^\s():]+)", trace, re.MULTILINE))


def tool_paths():
    """Yields the path of each tool that the build calls."""
    for tool in BUILD_TOOLS:
        yield output_of(["sh", "-c", f"command -v {tool}"]).strip()


def packages_of_files(files):
    """Maps each file to its package, or to None. dpkg may record a path with or without /usr (merged directories)."""
    recorded_paths = {}
    for file in files:
        resolved = str(pathlib.Path(file).resolve())
        recorded_paths[resolved] = [resolved, resolved.removeprefix("/usr")]
    queried = sorted({path for paths in recorded_paths.values() for path in paths})
    output = subprocess.run(["dpkg", "-S", *queried], capture_output=True, text=True).stdout
    package_of = {}
    for line in output.splitlines():
        packages, _, path = line.rpartition(": ")
        package_of[path] = packages.split(",")[0].split(":")[0]
    return {
        file: next((package_of[path] for path in paths if path in package_of), None)
        for file, paths in recorded_paths.items()
    }


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("root", type=pathlib.Path)
    arguments.add_argument("--without", default=None)
    options = arguments.parse_args()
    root = options.root.resolve()
    target = root / "target"
    listed = tomllib.loads((root / "deploy/system.toml").read_text())["packages"]
    installed = InstalledPackages()
    allowed = installed.closure([name for name in listed if name != options.without] + sorted(installed.essential))
    files = {
        f
        for f in [*header_files(target), *linked_files(target), *tool_paths()]
        if not f.startswith((f"{root}/", "/tmp/"))
    }
    if not any(f.endswith(".h") or f.endswith(".hpp") for f in files):
        sys.exit("no dependency files of headers under target/: run the build command of deploy/system.toml first")
    missing = {}
    for file, package in packages_of_files(files).items():
        if package not in allowed:
            missing.setdefault(package or "(no package)", []).append(file)
    for package, paths in sorted(missing.items()):
        print(f"deploy/system.toml lacks {package}: {paths[0]} and {len(paths) - 1} more")
    print(f"{len(files)} files and tools of the deploy build checked, {len(missing)} packages missing")
    sys.exit(1 if missing else 0)


if __name__ == "__main__":
    main()
