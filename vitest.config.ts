import { defineConfig } from "vitest/config";

/** Tests of a process's memory; each runs apart from other load, after all other tests. */
const crowdTests = ["test/**/uncontrolled-*.test.ts"];

const shared = {
    pool: "forks" as const,
    testTimeout: 30_000,
    hookTimeout: 30_000,
};

export default defineConfig({
    test: {
        projects: [
            {
                test: {
                    ...shared,
                    name: "tests",
                    include: ["test/**/*.test.ts"],
                    exclude: [...crowdTests, "**/node_modules/**"],
                    maxWorkers: 4,
                    sequence: { groupOrder: 0 },
                },
            },
            {
                test: {
                    ...shared,
                    name: "crowds",
                    include: crowdTests,
                    maxWorkers: 1,
                    sequence: { groupOrder: 1 },
                },
            },
        ],
    },
});
