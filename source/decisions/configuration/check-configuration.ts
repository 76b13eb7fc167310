/**
Checks of a configuration document that its schema cannot express.
*/
import type {Configuration, ServiceConfiguration} from '../../generated/configuration.js';

const repeated = (names: readonly string[]): readonly string[] => [...new Set(names.filter((name, index) => names.indexOf(name) !== index))];

const checkClasses = (service: ServiceConfiguration, place: string): readonly string[] => {
	const classes = service.classes ?? [];
	const thresholds = classes.flatMap(({minimumPromptTokens}) => minimumPromptTokens === undefined ? [] : [String(minimumPromptTokens)]);
	return [
		...repeated(classes.map(({name}) => name)).map(name => `${place}.classes: two classes are named "${name}"`),
		...repeated(thresholds).map(threshold => `${place}.classes: two classes have minimumPromptTokens ${threshold}`),
	];
};

const checkService = (service: ServiceConfiguration, index: number, models: ReadonlySet<string>): readonly string[] => {
	const place = `services.${index} (${service.name})`;
	const isModel = service.kind === 'model';
	return [
		...isModel && service.model === undefined ? [`${place}.model: a model service needs a model`] : [],
		...isModel && service.model !== undefined && !models.has(service.model) ? [`${place}.model: "${service.model}" is not under models`] : [],
		...!isModel && service.model !== undefined ? [`${place}.model: a plain service has no model`] : [],
		...!isModel && service.roles !== undefined ? [`${place}.roles: a plain service has no engine roles`] : [],
		...isModel && service.repeatable !== undefined ? [`${place}.repeatable: the operations of a model service are always repeatable`] : [],
		...checkClasses(service, place),
	];
};

/**
Returns every error found, each naming its place; an empty list when the document is sound.

@example
```
checkConfiguration(document); // ['services: two services are named "auction-floor"']
```
*/
export const checkConfiguration = (document: Configuration): readonly string[] => {
	const models = new Set((document.models ?? []).map(({name}) => name));
	const served = document.services.flatMap(({model}) => model === undefined ? [] : [model]);
	return [
		...repeated((document.models ?? []).map(({name}) => name)).map(name => `models: two models are named "${name}"`),
		...repeated(document.services.map(({name}) => name)).map(name => `services: two services are named "${name}"`),
		...repeated(served).map(name => `services: two services serve the model "${name}"`),
		...document.services.flatMap((service, index) => checkService(service, index, models)),
	];
};
