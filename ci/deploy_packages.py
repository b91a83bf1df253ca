#!/usr/bin/env python3
"""Proves that deploy/system.toml lists every Debian package that its build touches.

Reads what the deploy build left under target/: the compiler's dependency files (headers) and the link
commands, which are run again with the linker's trace (libraries and start files). Each file, and each
tool that the build calls, must belong to a package that is essential or in the closure of Depends and
Pre-Depends of the list. A file outside of it is named with its package and the exit status is 1.

Usage: deploy_packages.py ROOT [--without PACKAGE]     (--without: as if the list lacked PACKAGE; for the test)
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


class Installed:
    """What dpkg knows of the packages that are installed."""

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

    def named(self, dependency):
        """The installed packages that stand for one name: itself, else those that provide it."""
        return [dependency] if dependency in self.depends else self.providers.get(dependency, [])

    def closure(self, names):
        found, todo = set(), list(names)
        while todo:
            name = todo.pop()
            if name in found or name not in self.depends:
                continue
            found.add(name)
            for clause in self.depends[name].split(","):
                for choice in clause.split("|"):
                    if match := PACKAGE_NAME.match(choice.strip()):
                        todo += self.named(match.group())
        return found


def headers(target):
    """Every file outside of the repository that a dependency file names."""
    for dependency_file in target.rglob("*.o.d"):
        text = dependency_file.read_text().replace("\\\n", " ")
        yield from (word for word in text.split(":", 1)[1].split() if word.startswith("/"))


def linked_files(target):
    """Every file that the linker opens when the programs are linked once more."""
    for link_command in target.rglob("link.txt"):
        for line in link_command.read_text().splitlines():
            command = shlex.split(line)
            if not command[0].endswith(("c++", "g++")):
                continue  # an archive of our own objects
            trace = output_of(command + ["-Wl,--trace"], folder=link_command.parents[2])
            yield from (found for found in re.findall(r"(?:^|[\s(])(/[^\s():]+)", trace, re.MULTILINE))


def tools():
    for tool in BUILD_TOOLS:
        yield output_of(["sh", "-c", f"command -v {tool}"]).strip()


def owners(files):
    """The package of each file; a name may be recorded with or without /usr (merged folders)."""
    spellings = {}
    for file in files:
        real = str(pathlib.Path(file).resolve())
        spellings[real] = [real, real.removeprefix("/usr")]
    asked = sorted({spelling for row in spellings.values() for spelling in row})
    answer = subprocess.run(["dpkg", "-S", *asked], capture_output=True, text=True).stdout
    package_of = {}
    for line in answer.splitlines():
        packages, _, path = line.rpartition(": ")
        package_of[path] = packages.split(",")[0].split(":")[0]
    return {file: next((package_of[s] for s in row if s in package_of), None) for file, row in spellings.items()}


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("root", type=pathlib.Path)
    arguments.add_argument("--without", default=None)
    options = arguments.parse_args()
    root = options.root.resolve()
    target = root / "target"
    listed = tomllib.loads((root / "deploy/system.toml").read_text())["packages"]
    installed = Installed()
    allowed = installed.closure([name for name in listed if name != options.without] + sorted(installed.essential))
    files = {f for f in [*headers(target), *linked_files(target), *tools()] if not f.startswith((f"{root}/", "/tmp/"))}
    if not any(f.endswith(".h") or f.endswith(".hpp") for f in files):
        sys.exit("no dependency file under target/: build by the deploy file first")
    missing = {}
    for file, package in owners(files).items():
        if package not in allowed:
            missing.setdefault(package or "(no package)", []).append(file)
    for package, row in sorted(missing.items()):
        print(f"deploy/system.toml lacks {package}: {row[0]} and {len(row) - 1} more")
    print(f"{len(files)} files and tools of the deploy build looked up, {len(missing)} packages missing")
    sys.exit(1 if missing else 0)


if __name__ == "__main__":
    main()
