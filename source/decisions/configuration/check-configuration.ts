/**
Validates what the schema of the configuration document cannot express.
*/
import type {Configuration, ServiceConfiguration} from '../../generated/configuration.js';

const duplicates = (names: readonly string[]): readonly string[] => [...new Set(names.filter((name, index) => names.indexOf(name) !== index))];

const checkClasses = (service: ServiceConfiguration, path: string): readonly string[] => {
	const classes = service.classes ?? [];
	const thresholds = classes.flatMap(({minimumPromptTokens}) => minimumPromptTokens === undefined ? [] : [String(minimumPromptTokens)]);
	return [
		...duplicates(classes.map(({name}) => name)).map(name => `${path}.classes: two classes are named "${name}"`),
		...duplicates(thresholds).map(threshold => `${path}.classes: two classes have minimumPromptTokens ${threshold}`),
	];
};

const checkService = (service: ServiceConfiguration, index: number, models: ReadonlySet<string>): readonly string[] => {
	const path = `services.${index} (${service.name})`;
	const isModel = service.kind === 'model';
	return [
		...isModel && service.model === undefined ? [`${path}.model: a model service needs a model`] : [],
		...isModel && service.model !== undefined && !models.has(service.model) ? [`${path}.model: "${service.model}" is not under models`] : [],
		...!isModel && service.model !== undefined ? [`${path}.model: a plain service has no model`] : [],
		...!isModel && service.roles !== undefined ? [`${path}.roles: a plain service has no engine roles`] : [],
		...isModel && service.repeatable !== undefined ? [`${path}.repeatable: the operations of a model service are always repeatable`] : [],
		...checkClasses(service, path),
	];
};

/**
Returns all errors, each with its path in the document; the list is empty when the document is valid.

@example
```
checkConfiguration(document); // ['services: two services are named "auction-floor"']
```
*/
export const checkConfiguration = (document: Configuration): readonly string[] => {
	const models = new Set((document.models ?? []).map(({name}) => name));
	const servedModels = document.services.flatMap(({model}) => model === undefined ? [] : [model]);
	return [
		...duplicates((document.models ?? []).map(({name}) => name)).map(name => `models: two models are named "${name}"`),
		...duplicates(document.services.map(({name}) => name)).map(name => `services: two services are named "${name}"`),
		...duplicates(servedModels).map(name => `services: two services serve the model "${name}"`),
		...document.services.flatMap((service, index) => checkService(service, index, models)),
	];
};
