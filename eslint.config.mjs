import eslint from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/node_modules/**", "**/dist/**", "target/**", "**/gen/**"] },
    eslint.configs.recommended,
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: {
            parserOptions: {
                projectService: { allowDefaultProject: ["*.mjs", "scripts/*.mjs", "test/support/*.mjs"] },
                tsconfigRootDir: import.meta.dirname,
            },
        },
        rules: {
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", {
                selector: "Literal[raw='null']",
                message: "Use undefined instead of null.",
            }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "function", format: ["camelCase"] },
            ],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
        },
    },
    {
        files: ["**/*.mjs"],
        ...tseslint.configs.disableTypeChecked,
        languageOptions: { globals: { process: "readonly", console: "readonly", URL: "readonly" } },
    },
);
